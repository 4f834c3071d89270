package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainloom.state.job.WorkerSnapshot;

/**
 * What the clocks of the workers tell of the time that has passed: for the next owner, how long ago
 * this one was last confirmed, and for this one the same of the owner before.
 */
final class WorkerClocks {
  /**
   * Readings that a confirmation names of each availability zone. One worker that is still up and
   * reachable is enough for the next owner; more would make each confirmation dear in large fleets.
   */
  private static final int READINGS_PER_ZONE = 16;

  private final ElapsedTime elapsed;
  private final WorkerTable workers;
  private final Takeover takeover;
  private Optional<LastConfirmation> lastConfirmation = Optional.empty();

  WorkerClocks(ElapsedTime elapsed, WorkerTable workers, Takeover takeover) {
    this.elapsed = elapsed;
    this.workers = workers;
    this.takeover = takeover;
  }

  /** Handles the last confirmation of the owner before. */
  void previousOwnerConfirmed(LastConfirmation confirmation) {
    lastConfirmation = Optional.of(confirmation);
    if (confirmation.namesWorkerClocks()) {
      takeover.previousOwnerIsOfThisRelease();
    }
    confirmation.latestMs().ifPresent(takeover::previousOwnersConfirmed);
  }

  /** Handles an answer of a worker to its last poll. */
  void answered(WorkerState worker, WorkerLife life, WorkerSnapshot snapshot, long nowMs) {
    life.latestClock().answered(snapshot.clockMs(), worker.pollSentElapsedMs, elapsed.ms());
    lastConfirmation
        .filter(
            confirmation ->
                confirmation.workerClockRead(
                    worker.id(), snapshot.startedAtMs(), snapshot.clockMs(), nowMs))
        .ifPresent(this::datedEarlier);
  }

  private void datedEarlier(LastConfirmation confirmation) {
    confirmation.latestMs().ifPresent(takeover::previousOwnersConfirmed);
    workers.inheritedLeaseEndsKnown(confirmation::latestMs);
  }

  /** Returns what workers' clocks show now at the latest: of each zone the best known ones. */
  List<WorkerClockReading> readings(long nowMs, long wallMs) {
    long elapsedMs = elapsed.advanceTo(nowMs, wallMs);
    Map<String, List<KnownClock>> byZone = new HashMap<>();
    for (WorkerState worker : workers.all()) {
      worker
          .lastLife()
          .filter(life -> life.startedAtMs() > 0)
          .flatMap(life -> knownClock(worker, life, elapsedMs))
          .ifPresent(
              clock ->
                  byZone
                      .computeIfAbsent(worker.registration.zone(), zone -> new ArrayList<>())
                      .add(clock));
    }
    return byZone.values().stream()
        .flatMap(clocks -> clocks.stream().sorted(KnownClock.BEST_FIRST).limit(READINGS_PER_ZONE))
        .map(KnownClock::reading)
        .toList();
  }

  private static Optional<KnownClock> knownClock(
      WorkerState worker, WorkerLife life, long elapsedMs) {
    return life.latestClock().latestMs(elapsedMs).stream()
        .mapToObj(
            latestMs ->
                new KnownClock(
                    new WorkerClockReading(worker.id(), life.startedAtMs(), latestMs),
                    life.latestClock().ageMs(elapsedMs)))
        .findFirst();
  }

  private record KnownClock(WorkerClockReading reading, long ageMs) {
    private static final Comparator<KnownClock> BEST_FIRST =
        Comparator.comparingLong(KnownClock::ageMs)
            .thenComparing(clock -> clock.reading().workerId());
  }
}
