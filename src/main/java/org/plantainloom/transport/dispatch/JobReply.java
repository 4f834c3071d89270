package org.plantainloom.transport.dispatch;

import java.util.Optional;
import org.plantainloom.state.job.JobStatus;

/**
 * Answer to a caller's wish.
 *
 * @param kind what became of the wish
 * @param status the job's status, if that was asked for
 */
public record JobReply(Kind kind, Optional<JobStatus> status) {
  /** What became of a caller's wish. */
  public enum Kind {
    DONE,
    NO_SUCH_JOB,
    /** Nothing was done and nothing will be. */
    UNAVAILABLE,
    /** It may have been done, or may still be. */
    UNKNOWN
  }

  static final JobReply DONE = new JobReply(Kind.DONE, Optional.empty());
  static final JobReply NO_SUCH_JOB = new JobReply(Kind.NO_SUCH_JOB, Optional.empty());
  static final JobReply UNAVAILABLE = new JobReply(Kind.UNAVAILABLE, Optional.empty());
  static final JobReply UNKNOWN = new JobReply(Kind.UNKNOWN, Optional.empty());

  static JobReply shown(JobStatus status) {
    return new JobReply(Kind.DONE, Optional.of(status));
  }
}
