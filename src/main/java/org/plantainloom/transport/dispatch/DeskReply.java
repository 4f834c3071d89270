package org.plantainloom.transport.dispatch;

import java.util.Optional;
import org.plantainloom.state.job.JobStatus;

/**
 * Answer to a caller's wish.
 *
 * @param kind what became of the wish
 * @param status the job's status, if that was asked for
 */
public record DeskReply(Kind kind, Optional<JobStatus> status) {
  /** What became of a caller's wish. */
  public enum Kind {
    DONE,
    NO_SUCH_JOB,
    /** Nothing was done and nothing will be. */
    UNAVAILABLE,
    /** It may have been done, or may still be. */
    UNKNOWN
  }

  static final DeskReply DONE = new DeskReply(Kind.DONE, Optional.empty());
  static final DeskReply NO_SUCH_JOB = new DeskReply(Kind.NO_SUCH_JOB, Optional.empty());
  static final DeskReply UNAVAILABLE = new DeskReply(Kind.UNAVAILABLE, Optional.empty());
  static final DeskReply UNKNOWN = new DeskReply(Kind.UNKNOWN, Optional.empty());

  static DeskReply shown(JobStatus status) {
    return new DeskReply(Kind.DONE, Optional.of(status));
  }
}
