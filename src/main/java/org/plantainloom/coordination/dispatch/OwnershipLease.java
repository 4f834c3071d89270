package org.plantainloom.coordination.dispatch;

/**
 * Tells whether this process may act as the owner of the workers, from when the store last
 * confirmed the ownership.
 *
 * <p>An owner that the store does not confirm may have been replaced without knowing it: it is cut
 * off, was suspended, or its key was removed early. It then starts no task, renews no worker's
 * lease, and takes no lease as expired, as its successor may have renewed it. What is already
 * running goes on until the workers' leases end. The successor relies on these bounds; see
 * docs/design/0007.
 *
 * <p>Not thread-safe. Times are in milliseconds.
 */
public final class OwnershipLease {
  /**
   * Time to live of the owner's key in the store; after the owner is killed, the cluster has no
   * owner until it has passed. A node that has just started on a third of a core may not renew its
   * lease for two seconds, so a shorter lease could expire while the owner is alive, and losing the
   * ownership costs more than the one second that it would save.
   */
  public static final long KEY_TTL_MS = 3_000;

  /** Interval between two renewals of the key. */
  public static final long RENEW_INTERVAL_MS = 500;

  /** Interval between two confirmations. */
  public static final long CONFIRM_INTERVAL_MS = 250;

  /**
   * How long an owner acts after a confirmation was sent: while three in a row fail. Its successor
   * waits as much longer for workers that it cannot reach.
   */
  static final long ACTING_MS = 4 * CONFIRM_INTERVAL_MS;

  /** How long an owner acts whose confirmations name no clocks of workers. */
  private static final long OLDER_RELEASE_ACTING_MS = 2_000;

  /** Before any time, yet far enough from the smallest number to be calculated with. */
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private boolean confirmed;
  private long confirmedMs = NEVER_MS;
  private long confirmedWallMs;

  /** A confirmation sent after this time would end a wait. */
  private long neededAfterMs = Long.MIN_VALUE;

  /**
   * Handles the store's reply that this process is the owner.
   *
   * @param sentMs when the confirmed call was sent, on the monotonic clock
   * @param sentWallMs the same on the wall clock
   */
  public void confirm(long sentMs, long sentWallMs) {
    if (!confirmed || sentMs > confirmedMs) {
      confirmed = true;
      confirmedMs = sentMs;
      confirmedWallMs = sentWallMs;
    }
  }

  /** Returns whether this process may act as the owner. */
  public boolean isValid(long nowMs, long wallMs) {
    return remainingMs(nowMs, wallMs) > 0;
  }

  /** Returns for how long this process may act without another confirmation; 0 if it may not. */
  public long remainingMs(long nowMs, long wallMs) {
    return confirmed ? Math.max(0, ACTING_MS - ageMs(nowMs, wallMs)) : 0;
  }

  /**
   * Returns the time since the last confirmation. The monotonic clock stands still while a VM is
   * suspended, and the wall clock may be set back, so the longer one counts.
   */
  public long ageMs(long nowMs, long wallMs) {
    return confirmed ? Math.max(nowMs - confirmedMs, wallMs - confirmedWallMs) : Long.MAX_VALUE / 2;
  }

  /**
   * Returns when the last confirmation was sent; before any lease if there is none. The end of a
   * lease that this process gave proves only up to then that nothing runs under it: nobody else was
   * the owner, so nobody else has renewed it.
   */
  long confirmedMs() {
    return confirmedMs;
  }

  /**
   * Asks for a confirmation that is sent after a time, as a lease has ended then: only that proves
   * that nothing runs under the lease.
   */
  void confirmationNeeded(long afterMs) {
    neededAfterMs = Math.max(neededAfterMs, afterMs);
  }

  /** Returns whether a confirmation that is sent now would end a wait, but one sent before not. */
  public boolean isConfirmationNeeded(long lastSentMs) {
    return neededAfterMs >= lastSentMs;
  }

  /** Returns how long a previous owner may have acted after its last confirmation, at most. */
  static long longestActingMs() {
    return ClockDrift.longestMs(ACTING_MS);
  }

  /** Returns the same for an owner of any release that is still in use. */
  static long longestActingOfAnyReleaseMs() {
    return ClockDrift.longestMs(OLDER_RELEASE_ACTING_MS);
  }
}
