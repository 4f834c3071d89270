package org.plantainloom.state.job;

/** A worker's reply to a poll. */
public sealed interface PollReply {
  /** The worker answered. */
  record Answered(WorkerSnapshot snapshot) implements PollReply {}

  /** The worker refused the poll, because it has seen a newer fencing token. */
  record Fenced() implements PollReply {}

  /**
   * The worker did not answer, or another incarnation of it did.
   *
   * @param reason cause of the failure, for the log
   */
  record Unavailable(String reason) implements PollReply {}
}
