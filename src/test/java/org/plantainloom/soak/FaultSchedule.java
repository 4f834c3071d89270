package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.List;

/** The active faults of a run, each with the time of its end, and a log of all of them. */
final class FaultSchedule {
  private final List<Fault> active = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final FaultTimeline timeline = new FaultTimeline();

  private record Fault(String name, FaultScope scope, long startMs, long endMs, Action heal) {}

  /** Starts or heals a fault. */
  @FunctionalInterface
  interface Action {
    void run() throws Exception;
  }

  boolean isActive(String name) {
    return active.stream().anyMatch(fault -> fault.name().equals(name));
  }

  /** Returns when the last of the active faults ends; the present if there is none. */
  long latestEndMs() {
    return active.stream().mapToLong(Fault::endMs).max().orElseGet(SoakRun::nowMs);
  }

  int activeCount() {
    return active.size();
  }

  void start(String name, FaultScope scope, long durationMs, Action start, Action heal)
      throws Exception {
    record("started " + name + " for " + durationMs + " ms");
    long nowMs = SoakRun.nowMs();
    active.add(new Fault(name, scope, nowMs, nowMs + durationMs, heal));
    start.run();
  }

  /** Heals the faults whose time is over. */
  void healExpired() throws Exception {
    healUpTo(SoakRun.nowMs());
  }

  void healAll() throws Exception {
    healUpTo(Long.MAX_VALUE);
  }

  private void healUpTo(long endMs) throws Exception {
    for (Fault fault : List.copyOf(active)) {
      if (fault.endMs() <= endMs) {
        active.remove(fault);
        record("healed " + fault.name());
        fault.heal().run();
        timeline.add(fault.scope(), fault.startMs(), SoakRun.nowMs());
      }
    }
  }

  /** Logs an event that has no end. */
  void record(String event) {
    log.add(SoakRun.nowMs() + " " + System.currentTimeMillis() + " " + event);
  }

  /** Carries out a fault that is over at once. */
  void strike(String name, FaultScope scope, Action action) throws Exception {
    record(name);
    long startMs = SoakRun.nowMs();
    action.run();
    timeline.add(scope, startMs, SoakRun.nowMs());
  }

  /** Adds a time in which the machine did not give the platform its processor time. */
  void addStall(StallProbe.Stall stall) {
    log.add(
        stall.startMs()
            + " "
            + Violation.wallMs(stall.startMs())
            + " the store stalled until "
            + Violation.wallMs(stall.endMs())
            + " without a fault");
    timeline.add(FaultScope.ofStore(), stall.startMs(), stall.endMs());
  }

  /** Returns when which faults were active; those that are active now are not in it. */
  FaultTimeline timeline() {
    return timeline;
  }

  List<String> log() {
    return List.copyOf(log);
  }
}
