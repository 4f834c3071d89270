package org.plantainloom.state.store;

/** Result of granting, renewing or ending a lease. */
public sealed interface LeaseReply {
  /**
   * The lease is valid.
   *
   * @param leaseId the lease
   * @param ttlMs how long it lasts from the arrival of the call at the store, in milliseconds
   */
  record Held(long leaseId, long ttlMs) implements LeaseReply {}

  /** The lease has ended. */
  record Ended() implements LeaseReply {}

  /**
   * The store did not reply, or refused the call.
   *
   * @param reason cause of the failure, for the log
   */
  record Unavailable(String reason) implements LeaseReply {}
}
