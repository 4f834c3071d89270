package org.plantainloom.support;

import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Network and timers in virtual time: calls are delayed, lost or delivered late at random, and
 * events run in the order of their due times.
 */
public final class SimulatedNetwork {
  private static final long TIMEOUT_MS = 1_500;

  /** Upper bound on how long after the caller's timeout a late call takes effect. */
  private static final int MAX_LATENESS_MS = 4_000;

  private final VirtualClock clock;
  private final UniformRandomProvider random;
  private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
  private MessageFaults faults = MessageFaults.none();
  private long sequence;

  private record ScheduledAction(long dueMs, long sequence, Runnable action)
      implements Comparable<ScheduledAction> {
    @Override
    public int compareTo(ScheduledAction other) {
      int byTime = Long.compare(dueMs, other.dueMs);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  SimulatedNetwork(VirtualClock clock, UniformRandomProvider random) {
    this.clock = clock;
    this.random = random;
  }

  void setFaults(MessageFaults newFaults) {
    faults = newFaults;
  }

  /** Schedules an action to run after a delay. */
  void schedule(long delayMs, Runnable action) {
    queue.add(new ScheduledAction(clock.nowMs() + delayMs, sequence++, action));
  }

  /**
   * Makes a remote call, to which the current fault rates apply.
   *
   * @param effect executes the call at the receiver and returns its reply, or null for no reply
   * @param unanswered result passed to the caller when it times out
   * @param onReply receives the reply or {@code unanswered}
   */
  <T> void call(Supplier<T> effect, T unanswered, Consumer<T> onReply) {
    int percent = random.nextInt(100);
    // Ranges of the random percentage: lost request, lost reply, late call, no fault.
    int lostReplyFrom = faults.lostRequest();
    int lateFrom = lostReplyFrom + faults.lostReply();
    int noFaultFrom = lateFrom + faults.late();
    if (percent < lostReplyFrom) {
      schedule(TIMEOUT_MS, () -> onReply.accept(unanswered));
    } else if (percent < lateFrom) {
      schedule(delayMs(), () -> execute(effect));
      schedule(TIMEOUT_MS, () -> onReply.accept(unanswered));
    } else if (percent < noFaultFrom) {
      schedule(TIMEOUT_MS, () -> onReply.accept(unanswered));
      schedule(TIMEOUT_MS + random.nextInt(MAX_LATENESS_MS), () -> execute(effect));
    } else {
      schedule(delayMs(), () -> reply(effect.get(), unanswered, onReply));
    }
  }

  private <T> void reply(T result, T unanswered, Consumer<T> onReply) {
    if (result == null) {
      schedule(TIMEOUT_MS, () -> onReply.accept(unanswered));
    } else {
      schedule(delayMs(), () -> onReply.accept(result));
    }
  }

  private static <T> void execute(Supplier<T> effect) {
    T unused = effect.get();
  }

  private long delayMs() {
    return 1L + random.nextInt(faults.maxDelayMs());
  }

  /** Advances the clock by a duration and runs everything that falls due within it. */
  void run(long durationMs) {
    long endMs = clock.nowMs() + durationMs;
    while (!queue.isEmpty() && queue.peek().dueMs() <= endMs) {
      ScheduledAction next = queue.poll();
      clock.advance(next.dueMs() - clock.nowMs());
      next.action().run();
    }
    clock.advance(endMs - clock.nowMs());
  }
}
