package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.plantainloom.state.job.TaskKey;

/**
 * At the end of a run, something of each job runs while the turn of a task has come, unless the
 * workers are in use or there is no room.
 */
final class IdleJobRule {
  /** Longest time in which nothing of a job may run. */
  static final long BOUND_MS = 3_000;

  private static final int ROOMS = 2;

  private final Collection<SoakJob> jobs;
  private final RunHistory history;
  private final WorkerCapacity capacity;

  IdleJobRule(List<String> workers, Collection<SoakJob> jobs, RunHistory history) {
    this.jobs = jobs;
    this.history = history;
    this.capacity = new WorkerCapacity(workers, jobs, history);
  }

  /**
   * Returns a violation for each job of which nothing ran for the bound.
   *
   * @param fromMs the beginning of the time that is judged; the history covers the bound after it
   */
  List<Violation> violations(ExchangeLog log, long fromMs) {
    long toMs = fromMs + BOUND_MS;
    List<Violation> violations = new ArrayList<>();
    if (!capacity.isUsedByLessThanHalf(fromMs, toMs)) {
      return violations;
    }
    for (SoakJob job : jobs) {
      if (isOpen(job, log, toMs) && capacity.hasRoom(job, ROOMS, fromMs, toMs)) {
        idleTask(job, fromMs, toMs)
            .ifPresent(
                task ->
                    violations.add(
                        new Violation(
                            toMs,
                            LastingTaskRule.LOST
                                + " nothing of a job runs though the turn of "
                                + task
                                + " has come; its runs: "
                                + runsOf(task))));
      }
    }
    return violations;
  }

  private boolean isOpen(SoakJob job, ExchangeLog log, long toMs) {
    OptionalLong acceptedMs = log.acceptedMs(job.id());
    return acceptedMs.isPresent()
        && !log.isCancelSent(job.id(), toMs)
        && !log.isShownAs(job.id(), "completed")
        && !JobStateRule.mayHaveFailed(job, history, toMs);
  }

  /** Returns a task whose turn has come, if nothing ran for it all the time. */
  private Optional<TaskKey> idleTask(SoakJob job, long fromMs, long toMs) {
    List<RunHistory.Entry> runs = runs(job);
    List<RunHistory.Entry> active =
        runs.stream().filter(run -> run.startMs() <= toMs && run.lastMs() >= fromMs).toList();
    if (job.longRunning()) {
      return tasks(job, 0).stream()
          .filter(task -> active.stream().noneMatch(run -> isOf(run, task)))
          .filter(task -> isDue(runs, task, fromMs))
          .findFirst();
    }
    if (!active.isEmpty()) {
      return Optional.empty();
    }
    Set<String> done =
        runs.stream()
            .filter(history::isKnownDone)
            .map(run -> run.run().task())
            .collect(Collectors.toSet());
    return IntStream.range(0, job.phases())
        .mapToObj(phase -> tasks(job, phase))
        .flatMap(List::stream)
        .filter(task -> !done.contains(task.toString()))
        // The first task that is not done is of the first phase that is not complete.
        .findFirst();
  }

  private static boolean isDue(List<RunHistory.Entry> runs, TaskKey task, long fromMs) {
    return runs.stream()
        .filter(run -> isOf(run, task))
        .allMatch(run -> run.lastMs() + LastingTaskRule.DUE_MS <= fromMs);
  }

  private static boolean isOf(RunHistory.Entry run, TaskKey task) {
    return run.run().task().equals(task.toString());
  }

  private static List<TaskKey> tasks(SoakJob job, int phase) {
    return IntStream.range(0, job.width())
        .mapToObj(index -> new TaskKey(job.id(), 0, phase, index))
        .toList();
  }

  private List<String> runsOf(TaskKey task) {
    return history.entries().stream()
        .filter(run -> isOf(run, task))
        .map(run -> run.run().number() + " on " + run.run().worker() + " " + run.outcome())
        .toList();
  }

  private List<RunHistory.Entry> runs(SoakJob job) {
    return history.entries().stream().filter(run -> run.jobId().equals(job.id())).toList();
  }
}
