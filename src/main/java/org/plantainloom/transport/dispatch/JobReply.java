package org.plantainloom.transport.dispatch;

import java.util.Optional;
import org.plantainloom.state.job.JobStatus;

/**
 * Reply to a request about a job.
 *
 * @param kind outcome of the request
 * @param status the job's status, if the request asked for it
 */
public record JobReply(Kind kind, Optional<JobStatus> status) {
  /** Outcome of a request about a job. */
  public enum Kind {
    DONE,
    NO_SUCH_JOB,
    /** The request had no effect and will have none. */
    UNAVAILABLE,
    /** The same, and the cluster needs seconds until it can keep another job. */
    OVERLOADED,
    /** The request may have taken effect, or may still do so. */
    UNKNOWN
  }

  static final JobReply DONE = new JobReply(Kind.DONE, Optional.empty());
  static final JobReply NO_SUCH_JOB = new JobReply(Kind.NO_SUCH_JOB, Optional.empty());
  static final JobReply UNAVAILABLE = new JobReply(Kind.UNAVAILABLE, Optional.empty());
  static final JobReply OVERLOADED = new JobReply(Kind.OVERLOADED, Optional.empty());
  static final JobReply UNKNOWN = new JobReply(Kind.UNKNOWN, Optional.empty());

  static JobReply withStatus(JobStatus status) {
    return new JobReply(Kind.DONE, Optional.of(status));
  }
}
