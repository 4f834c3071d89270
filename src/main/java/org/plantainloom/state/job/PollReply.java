package org.plantainloom.state.job;

/** A worker's answer to a look. */
public sealed interface PollReply {
  /** The worker answered. */
  record Answered(WorkerSnapshot snapshot) implements PollReply {}

  /** Another scheduler has used a newer fencing token. */
  record Fenced() implements PollReply {}

  /**
   * The worker did not answer, or not as this life of it.
   *
   * @param reason what happened instead, for the log
   */
  record Unavailable(String reason) implements PollReply {}
}
