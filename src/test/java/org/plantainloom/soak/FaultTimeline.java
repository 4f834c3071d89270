package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** When which faults were active, from which the rules derive what they excuse. */
final class FaultTimeline {
  /** Time after a fault within which a node that it affected is not yet in touch. */
  static final long CONTACT_MS = 3_000;

  private final List<Interval> intervals = new ArrayList<>();

  private record Interval(FaultScope scope, long startMs, long endMs) {
    boolean overlaps(long fromMs, long toMs) {
      return startMs <= toMs && endMs >= fromMs;
    }
  }

  /** Adds a fault; its end may be unknown yet. */
  void add(FaultScope scope, long startMs, long endMs) {
    intervals.add(new Interval(scope, startMs, endMs));
  }

  /** Returns whether no fault was active in a time. */
  boolean isCalm(long fromMs, long toMs) {
    return intervals.stream().noneMatch(interval -> interval.overlaps(fromMs, toMs));
  }

  /** Returns whether no fault but planned work was active in a time. */
  boolean isWithoutImpairment(long fromMs, long toMs) {
    return intervals.stream()
        .noneMatch(interval -> !interval.scope().planned() && interval.overlaps(fromMs, toMs));
  }

  /** Returns whether a node ran and the store answered it, all the time before a moment. */
  boolean isInTouch(int node, long atMs) {
    return !isAffected(scope -> scope.affectsNode(node), atMs);
  }

  /** Returns whether a command of a node may have been under way to a worker for long. */
  boolean isHeldUp(int node, int worker, long atMs) {
    return isAffected(scope -> scope.heldLinks().contains(new FaultScope.Link(node, worker)), atMs);
  }

  private boolean isAffected(Predicate<FaultScope> affects, long atMs) {
    return intervals.stream()
        .anyMatch(
            interval ->
                affects.test(interval.scope()) && interval.overlaps(atMs - CONTACT_MS, atMs));
  }
}
