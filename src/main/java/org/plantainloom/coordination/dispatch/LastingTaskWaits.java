package org.plantainloom.coordination.dispatch;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Says once a second why tasks that last are not running.
 *
 * <p>A lasting task that waits is a loss of service for as long as it waits, and the reasons call
 * for different remedies. Nothing is logged while none waits.
 */
final class LastingTaskWaits {
  private static final long LOG_INTERVAL_MS = 1_000;

  /** Why a lasting task is not running. */
  enum Reason {
    /** A new owner does not know yet what the workers run. */
    TAKEOVER("takeover"),
    /** A silent worker may run it until its lease has ended. */
    SILENT_WORKER("silentWorker"),
    /** Workers with room for it are kept for short tasks. */
    RESERVED("reserved"),
    /** No worker has room for it. */
    NO_ROOM("noRoom"),
    /** It is started in the next round, or it failed a moment ago. */
    STARTING("starting");

    private final String label;

    Reason(String label) {
      this.label = label;
    }
  }

  private final DecisionLog log;
  private final Placement placement;
  private long loggedMs;

  LastingTaskWaits(DecisionLog log, Placement placement) {
    this.log = log;
    this.placement = placement;
  }

  /**
   * Logs the numbers of waiting tasks by reason if that is due.
   *
   * @param caughtUp whether tasks of inherited jobs may start
   * @param serviceOf the service on whose workers the tasks of a phase run
   */
  void logIfDue(
      Collection<JobState> open,
      Collection<WorkerState> workers,
      boolean caughtUp,
      Function<PhaseState, String> serviceOf,
      long nowMs,
      long wallMs) {
    if (nowMs - loggedMs < LOG_INTERVAL_MS) {
      return;
    }
    loggedMs = nowMs;
    Map<Reason, Integer> counts = new EnumMap<>(Reason.class);
    Optional<TaskState> first = Optional.empty();
    for (JobState job : open) {
      for (PhaseState phase : job.lastingPhases()) {
        List<TaskState> waiting = phase.isReady(wallMs) ? notRunning(phase) : List.of();
        if (waiting.isEmpty()) {
          continue;
        }
        Reason unlessHeldBack =
            !caughtUp && job.inherited
                ? Reason.TAKEOVER
                : placementReason(phase, serviceOf.apply(phase), workers, nowMs);
        for (TaskState task : waiting) {
          boolean heldBack = !task.possibleWorkers.isEmpty();
          counts.merge(heldBack ? Reason.SILENT_WORKER : unlessHeldBack, 1, Integer::sum);
        }
        first = first.isPresent() ? first : Optional.of(waiting.get(0));
      }
    }
    first.ifPresent(task -> log.logDecision("lasting-tasks-wait", task.key, describe(counts)));
  }

  private static List<TaskState> notRunning(PhaseState phase) {
    return phase.tasks.stream().filter(task -> !task.done && task.runs.isEmpty()).toList();
  }

  private Reason placementReason(
      PhaseState phase, String service, Collection<WorkerState> workers, long nowMs) {
    if (placement.choose(phase, service, workers, nowMs) != null) {
      return Reason.STARTING;
    }
    return placement.fitsOnKeptWorker(phase, service, workers, nowMs)
        ? Reason.RESERVED
        : Reason.NO_ROOM;
  }

  private static String describe(Map<Reason, Integer> counts) {
    StringBuilder text = new StringBuilder();
    counts.forEach(
        (reason, count) ->
            text.append(text.isEmpty() ? "" : " ").append(reason.label).append('=').append(count));
    return text.toString();
  }
}
