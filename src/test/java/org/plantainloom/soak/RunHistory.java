package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.plantainloom.platform.standin.ObservedRun;
import org.plantainloom.platform.standin.RunObserver;

/** All runs with the times of their starts and ends, for rules that are judged after the run. */
final class RunHistory implements RunObserver {
  private final LongSupplier clock;
  private final List<Entry> entries = new ArrayList<>();
  private final Map<ObservedRun, Integer> open = new HashMap<>();
  private final Set<ObservedRun> lostEnds = new HashSet<>();
  private final Map<String, Long> workerLossesMs = new HashMap<>();

  /**
   * One run of a task.
   *
   * @param endMs when it ended; empty while it goes on
   */
  record Entry(ObservedRun run, long startMs, OptionalLong endMs, String outcome) {
    /** Returns when the run ended, or a time after all others. */
    long lastMs() {
      return endMs.orElse(Long.MAX_VALUE);
    }

    boolean isActiveAt(long atMs) {
      return startMs <= atMs && atMs < lastMs();
    }

    String jobId() {
      return run.task().substring(0, run.task().indexOf('.'));
    }
  }

  RunHistory(LongSupplier clock) {
    this.clock = clock;
  }

  @Override
  public synchronized void started(ObservedRun run, String payload) {
    open.put(run, entries.size());
    entries.add(new Entry(run, clock.getAsLong(), OptionalLong.empty(), "running"));
  }

  @Override
  public synchronized void ended(ObservedRun run, String outcome) {
    Integer index = open.remove(run);
    if (index != null) {
      long startMs = entries.get(index).startMs();
      entries.set(index, new Entry(run, startMs, OptionalLong.of(clock.getAsLong()), outcome));
    }
  }

  @Override
  public synchronized void endReportLost(ObservedRun run) {
    lostEnds.add(run);
  }

  /** Returns whether a run ended as done, and no worker forgot that before an owner knew it. */
  synchronized boolean isKnownDone(Entry entry) {
    return entry.outcome().equals("done") && !lostEnds.contains(entry.run());
  }

  /** Notes that a worker is gone for good. */
  synchronized void workerLost(String worker) {
    workerLossesMs.put(worker, clock.getAsLong());
  }

  synchronized boolean isWorkerLost(String worker, long atMs) {
    return workerLossesMs.getOrDefault(worker, Long.MAX_VALUE) <= atMs;
  }

  synchronized List<Entry> entries() {
    return List.copyOf(entries);
  }

  /** Returns the runs of each task in the order of their starts. */
  synchronized Map<String, List<Entry>> byTask() {
    Map<String, List<Entry>> runs = new TreeMap<>();
    entries.forEach(
        entry -> runs.computeIfAbsent(entry.run().task(), task -> new ArrayList<>()).add(entry));
    return runs;
  }
}
