package org.plantainloom.support;

import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Messages and timers in virtual time, delivered in the order of their due times. */
public final class SimulatedNetwork {
  private static final long TIMEOUT_MS = 1_500;
  private static final int LATEST_MS = 4_000;

  private final VirtualClock clock;
  private final UniformRandomProvider random;
  private final PriorityQueue<Due> queue = new PriorityQueue<>();
  private MessageFaults faults = MessageFaults.none();
  private long sequence;

  private record Due(long atMs, long sequence, Runnable action) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      int byTime = Long.compare(atMs, other.atMs);
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

  /** Runs an action after a delay. */
  void schedule(long delayMs, Runnable action) {
    queue.add(new Due(clock.nowMs() + delayMs, sequence++, action));
  }

  /**
   * Calls a remote party; the call may be lost, answered late, or not be answered.
   *
   * @param effect what the party does; null stands for no answer
   * @param unanswered what the caller sees if no answer comes
   */
  <T> void call(Supplier<T> effect, T unanswered, Consumer<T> onReply) {
    int fate = random.nextInt(100);
    int lostReplyFrom = faults.lostRequest();
    int lateFrom = lostReplyFrom + faults.lostReply();
    int fineFrom = lateFrom + faults.late();
    if (fate < lostReplyFrom) {
      schedule(TIMEOUT_MS, () -> onReply.accept(unanswered));
    } else if (fate < lateFrom) {
      schedule(delayMs(), () -> takeEffect(effect));
      schedule(TIMEOUT_MS, () -> onReply.accept(unanswered));
    } else if (fate < fineFrom) {
      schedule(TIMEOUT_MS, () -> onReply.accept(unanswered));
      schedule(TIMEOUT_MS + random.nextInt(LATEST_MS), () -> takeEffect(effect));
    } else {
      schedule(delayMs(), () -> answer(effect.get(), unanswered, onReply));
    }
  }

  private <T> void answer(T result, T unanswered, Consumer<T> onReply) {
    if (result == null) {
      schedule(TIMEOUT_MS, () -> onReply.accept(unanswered));
    } else {
      schedule(delayMs(), () -> onReply.accept(result));
    }
  }

  private static <T> void takeEffect(Supplier<T> effect) {
    T unused = effect.get();
  }

  private long delayMs() {
    return 1L + random.nextInt(faults.maxDelayMs());
  }

  /** Delivers everything that is due within the time. */
  void run(long durationMs) {
    long untilMs = clock.nowMs() + durationMs;
    while (!queue.isEmpty() && queue.peek().atMs() <= untilMs) {
      Due due = queue.poll();
      clock.advance(due.atMs() - clock.nowMs());
      due.action().run();
    }
    clock.advance(untilMs - clock.nowMs());
  }
}
