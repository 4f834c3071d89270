package org.plantainloom.coordination.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The last confirmation of the owner before, which tells its successor until when that one may have
 * acted.
 *
 * <p>The successor dates it on its own clock in two ways. While it was another node, it may have
 * sampled the owner's clocks ({@link OwnerClocks}). And the confirmation names what the clocks of
 * workers showed at most when it was sent: what such a worker's clock shows now says how long ago
 * that was at least. The second way needs neither a successor that has lived long nor a former
 * owner that answers.
 *
 * <p>Not thread-safe.
 */
public final class LastConfirmation {
  private final OwnerTime time;
  private final OwnerClocks clocks;
  private final boolean namesWorkerClocks;
  private final Map<String, WorkerClockReading> workerClocks = new HashMap<>();

  /**
   * Creates a confirmation.
   *
   * @param time when it was sent, on the owner's clocks
   * @param workerClocks the workers' clocks at that time; empty if the owner was of a release that
   *     counted its claim as a confirmation, too
   * @param clocks what this process knows of the owners' clocks
   */
  public LastConfirmation(
      OwnerTime time, Optional<List<WorkerClockReading>> workerClocks, OwnerClocks clocks) {
    this.time = time;
    this.clocks = clocks;
    this.namesWorkerClocks = workerClocks.isPresent();
    workerClocks
        .orElse(List.of())
        .forEach(reading -> this.workerClocks.put(reading.workerId(), reading));
  }

  /** Returns whether it is of a release that names workers' clocks, whose claims don't confirm. */
  boolean namesWorkerClocks() {
    return namesWorkerClocks;
  }

  /** Returns when it was sent. */
  public OwnerTime time() {
    return time;
  }

  /**
   * Handles a worker's clock.
   *
   * @param startedAtMs when the worker's life started; 0 if unknown
   * @param clockMs its clock at some time before now
   * @return whether the confirmation can be dated earlier by that
   */
  boolean workerClockRead(String workerId, long startedAtMs, long clockMs, long nowMs) {
    WorkerClockReading reading = workerClocks.get(workerId);
    if (reading == null || startedAtMs == 0 || reading.startedAtMs() != startedAtMs) {
      return false;
    }
    long elapsedMs = ClockDrift.shortestMs(Math.max(0, clockMs - reading.latestClockMs()));
    OptionalLong before = latestMs();
    clocks.sampled(time, nowMs - elapsedMs);
    OptionalLong after = latestMs();
    return after.isPresent() && (before.isEmpty() || after.getAsLong() < before.getAsLong());
  }

  /**
   * Returns the latest time at which the store may have confirmed any owner up to the one that sent
   * it; empty if that is not known.
   */
  OptionalLong latestMs() {
    return namesWorkerClocks
        ? clocks.latestOwnConfirmationMs(time)
        : clocks.latestConfirmationMs(time);
  }

  /**
   * Returns the latest time of a moment that the owner's list of workers names; empty if it is not
   * known. The owner may have left the list as the one before it wrote it.
   */
  public OptionalLong latestMs(OwnerTime moment) {
    return moment.term() >= time.term() - 1 ? clocks.latestMs(moment) : OptionalLong.empty();
  }
}
