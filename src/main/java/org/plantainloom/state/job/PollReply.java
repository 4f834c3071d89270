package org.plantainloom.state.job;

/** A worker's reply to a poll. */
public sealed interface PollReply {
  /**
   * The worker replied.
   *
   * @param snapshot its state
   */
  record Answered(WorkerSnapshot snapshot) implements PollReply {}

  /** The worker refused the poll, because it has seen a newer fencing token. */
  record Fenced() implements PollReply {}

  /**
   * The worker did not reply, or another incarnation of it did.
   *
   * @param reason cause of the failure, for the log
   */
  record Unavailable(String reason) implements PollReply {}
}
