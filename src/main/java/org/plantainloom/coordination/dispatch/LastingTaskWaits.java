package org.plantainloom.coordination.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.plantainloom.coordination.dispatch.LastingTaskWait.Reason;

/**
 * Observes why tasks that last are not running.
 *
 * <p>A lasting task that waits is a loss of service for as long as it waits, and the reasons call
 * for different remedies. Once a second the log tells how many wait, and names those that wait for
 * long; the start of a task tells its own wait. An id joins the waits under successive owners.
 * Nothing is logged while none waits.
 */
final class LastingTaskWaits {
  private static final long OBSERVATION_INTERVAL_MS = 100;
  private static final long LOG_INTERVAL_MS = 1_000;

  /** Wait from which a task is named. */
  private static final long LONG_WAIT_MS = 2_000;

  /** Tasks that are named each time. */
  private static final int MAX_LOGGED_TASKS = 5;

  private static final Comparator<Map.Entry<TaskState, LastingTaskWait>> LONGEST_UNNAMED_FIRST =
      Comparator.<Map.Entry<TaskState, LastingTaskWait>>comparingLong(e -> e.getValue().loggedMs())
          .thenComparingLong(e -> e.getValue().sinceMs())
          .thenComparing(e -> e.getKey().key.toString());

  private final DecisionLog log;
  private final Placement placement;
  private Map<TaskState, LastingTaskWait> waits = new HashMap<>();
  private long observedMs;
  private long loggedMs;

  LastingTaskWaits(DecisionLog log, Placement placement) {
    this.log = log;
    this.placement = placement;
  }

  /**
   * Observes which tasks wait, and logs it if that is due.
   *
   * @param takeover tells whether tasks of inherited jobs may start
   * @param serviceOf the service on whose workers the tasks of a phase run
   */
  void observeIfDue(
      Collection<JobState> open,
      Collection<WorkerState> workers,
      Takeover takeover,
      Function<PhaseState, String> serviceOf,
      long nowMs,
      long wallMs) {
    if (nowMs - observedMs < OBSERVATION_INTERVAL_MS) {
      return;
    }
    observedMs = nowMs;
    Map<TaskState, LastingTaskWait> waiting = new HashMap<>();
    for (JobState job : open) {
      for (PhaseState phase : job.lastingPhases()) {
        List<TaskState> tasks = phase.isReady(wallMs) ? notRunning(phase) : List.of();
        if (tasks.isEmpty()) {
          continue;
        }
        Map<Boolean, Reason> unlessHeldBack = new HashMap<>();
        for (TaskState task : tasks) {
          Reason reason =
              unlessHeldBack.computeIfAbsent(
                  task.begun,
                  again ->
                      takeover.mayStart(job)
                          ? placementReason(phase, again, serviceOf.apply(phase), workers, nowMs)
                          : Reason.TAKEOVER);
          reason = task.possibleWorkers.isEmpty() ? reason : Reason.SILENT_WORKER;
          waiting.put(task, observe(task, reason, nowMs));
        }
      }
    }
    waits = waiting;
    if (!waits.isEmpty() && nowMs - loggedMs >= LOG_INTERVAL_MS) {
      loggedMs = nowMs;
      logWaits(nowMs);
    }
  }

  private LastingTaskWait observe(TaskState task, Reason reason, long nowMs) {
    LastingTaskWait wait = waits.get(task);
    if (wait == null) {
      return new LastingTaskWait(reason, nowMs);
    }
    wait.observe(reason, nowMs);
    return wait;
  }

  /** Returns the part of a log line that tells how long a task has waited that is now started. */
  String startText(TaskState task, long nowMs) {
    if (!task.phase.spec.lasting()) {
      return "";
    }
    LastingTaskWait wait = waits.remove(task);
    return " " + (wait == null ? "waitedMs=0" : wait.logText(nowMs));
  }

  private static List<TaskState> notRunning(PhaseState phase) {
    return phase.tasks.stream().filter(task -> !task.done && task.runs.isEmpty()).toList();
  }

  private Reason placementReason(
      PhaseState phase,
      boolean again,
      String service,
      Collection<WorkerState> workers,
      long nowMs) {
    if (placement.choose(phase, again, service, workers, nowMs) != null) {
      return Reason.STARTING;
    }
    return !again && placement.fitsOnKeptWorker(phase, service, workers, nowMs)
        ? Reason.RESERVED
        : Reason.NO_ROOM;
  }

  private void logWaits(long nowMs) {
    Map<Reason, Integer> counts = new EnumMap<>(Reason.class);
    waits.values().forEach(wait -> counts.merge(wait.reason(), 1, Integer::sum));
    TaskState longest =
        waits.entrySet().stream()
            .min(Comparator.comparingLong(entry -> entry.getValue().sinceMs()))
            .orElseThrow()
            .getKey();
    log.logDecision("lasting-tasks-wait", longest.key, describe(counts));
    waits.entrySet().stream()
        .filter(entry -> entry.getValue().waitedMs(nowMs) >= LONG_WAIT_MS)
        .sorted(LONGEST_UNNAMED_FIRST)
        .limit(MAX_LOGGED_TASKS)
        .forEach(entry -> logWait(entry.getKey(), entry.getValue(), nowMs));
  }

  private void logWait(TaskState task, LastingTaskWait wait, long nowMs) {
    String earlier = task.lastConclusion.map(last -> last.logText(nowMs)).orElse("");
    log.logDecision(
        "lasting-task-delayed",
        task.key,
        "reason=" + wait.reason().label() + " " + wait.logText(nowMs) + earlier);
    wait.logged(nowMs);
  }

  private static String describe(Map<Reason, Integer> counts) {
    StringBuilder text = new StringBuilder();
    counts.forEach(
        (reason, count) ->
            text.append(text.isEmpty() ? "" : " ")
                .append(reason.label())
                .append('=')
                .append(count));
    return text.toString();
  }
}
