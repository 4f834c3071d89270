package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** How much of the workers' processor time the runs of a history use. */
final class WorkerCapacity {
  private final List<String> workers;
  private final Map<String, SoakJob> jobs;
  private final RunHistory history;

  WorkerCapacity(List<String> workers, Collection<SoakJob> jobs, RunHistory history) {
    this.workers = workers;
    this.jobs = jobs.stream().collect(Collectors.toMap(SoakJob::id, Function.identity()));
    this.history = history;
  }

  /** Returns whether a number of tasks of a job had room, at each moment of a time. */
  boolean hasRoom(SoakJob job, int tasks, long fromMs, long toMs) {
    return holds(
        fromMs,
        toMs,
        free ->
            free.values().stream().mapToInt(millis -> Math.max(0, millis) / job.cpuMillis()).sum()
                >= tasks);
  }

  /** Returns whether less than half of the capacity was in use, at each moment of a time. */
  boolean isUsedByLessThanHalf(long fromMs, long toMs) {
    return holds(
        fromMs,
        toMs,
        free ->
            2 * free.values().stream().mapToInt(Integer::intValue).sum()
                > free.size() * InvariantChecker.WORKER_CPU_MILLIS);
  }

  private boolean holds(long fromMs, long toMs, Predicate<Map<String, Integer>> condition) {
    List<RunHistory.Entry> runs =
        history.entries().stream()
            .filter(run -> run.startMs() <= toMs && run.lastMs() > fromMs)
            .toList();
    List<Long> moments = new ArrayList<>(List.of(fromMs));
    runs.stream().map(RunHistory.Entry::startMs).filter(at -> at > fromMs).forEach(moments::add);
    return moments.stream().allMatch(atMs -> condition.test(free(runs, atMs)));
  }

  /** Returns the free processor time of each worker, in thousandths of a core. */
  private Map<String, Integer> free(List<RunHistory.Entry> runs, long atMs) {
    Map<String, Integer> free = new HashMap<>();
    workers.stream()
        .filter(worker -> !history.isWorkerLost(worker, atMs))
        .forEach(worker -> free.put(worker, InvariantChecker.WORKER_CPU_MILLIS));
    runs.stream()
        .filter(run -> run.isActiveAt(atMs) && jobs.containsKey(run.jobId()))
        .forEach(
            run ->
                free.computeIfPresent(
                    run.run().worker(),
                    (worker, millis) -> millis - jobs.get(run.jobId()).cpuMillis()));
    return free;
  }
}
