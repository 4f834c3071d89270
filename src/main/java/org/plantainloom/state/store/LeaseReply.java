package org.plantainloom.state.store;

/** Result of asking for a lease or renewing it. */
public sealed interface LeaseReply {
  /**
   * The lease holds.
   *
   * @param leaseId the lease
   * @param ttlMs how long it lasts from the arrival of the call, in milliseconds
   */
  record Held(long leaseId, long ttlMs) implements LeaseReply {}

  /** The lease has ended. */
  record Ended() implements LeaseReply {}

  /**
   * The store did not answer or refused.
   *
   * @param reason what happened, for the log
   */
  record Unavailable(String reason) implements LeaseReply {}
}
