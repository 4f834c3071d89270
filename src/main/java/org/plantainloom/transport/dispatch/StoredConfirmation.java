package org.plantainloom.transport.dispatch;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;
import org.plantainloom.coordination.dispatch.OwnerTime;
import org.plantainloom.coordination.dispatch.WorkerClockReading;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.store.StoreItem;

/**
 * The last confirmation of an ownership, as stored.
 *
 * @param term the owner's term
 * @param monotonicMs when it was sent, on the owner's monotonic clock
 * @param wallMs the same on its wall clock
 * @param workerClocks what workers' clocks showed then, at the latest; absent if written by a
 *     release whose claims count as confirmations, too
 * @param claimedTerm the term of the last owner whose claim has followed; 0 if none has. Such an
 *     owner has not acted: its first confirmation replaces this one
 * @param jobBytesLeft how much of its memory the owner has left for more jobs; absent if written by
 *     a release that accepts jobs without regard to that
 */
record StoredConfirmation(
    long term,
    long monotonicMs,
    long wallMs,
    Optional<List<WorkerClockReading>> workerClocks,
    @JsonInclude(JsonInclude.Include.NON_DEFAULT) long claimedTerm,
    Optional<Long> jobBytesLeft) {

  StoredConfirmation {
    if (workerClocks == null) {
      workerClocks = Optional.empty();
    }
    if (jobBytesLeft == null) {
      jobBytesLeft = Optional.empty();
    }
  }

  /** Creates a confirmation of an owner. */
  static StoredConfirmation of(
      OwnerTime time, List<WorkerClockReading> workerClocks, long jobBytesLeft) {
    return new StoredConfirmation(
        time.term(),
        time.monotonicMs(),
        time.wallMs(),
        Optional.of(workerClocks),
        0,
        Optional.of(jobBytesLeft));
  }

  /** Returns the confirmation; empty if no owner can have written the item. */
  static Optional<StoredConfirmation> parse(StoreItem item) {
    try {
      StoredConfirmation confirmation = Json.read(item.value(), StoredConfirmation.class);
      return confirmation.isPossible(item.revision())
          ? Optional.of(confirmation)
          : Optional.empty();
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  private boolean isPossible(long revision) {
    return wallMs > 0
        && StoredTerm.isPossible(term, revision)
        && (claimedTerm == 0
            || (claimedTerm > term && StoredTerm.isPossible(claimedTerm, revision)))
        && workerClocks.orElse(List.of()).stream().allMatch(StoredConfirmation::isPossible);
  }

  private static boolean isPossible(WorkerClockReading reading) {
    return reading != null
        && reading.workerId() != null
        && reading.startedAtMs() > 0
        && Math.abs(reading.latestClockMs()) <= StoredFleet.MAX_CLOCK_MS;
  }

  /** Returns when it was sent. */
  OwnerTime time() {
    return new OwnerTime(term, monotonicMs, wallMs);
  }

  /** Returns the term up to which no other owner can have acted since. */
  long lastTerm() {
    return Math.max(term, claimedTerm);
  }

  /** Returns this confirmation as it is stored by the claim of a later owner. */
  StoredConfirmation claimedBy(long newTerm) {
    return new StoredConfirmation(term, monotonicMs, wallMs, workerClocks, newTerm, jobBytesLeft);
  }
}
