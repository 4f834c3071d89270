package org.plantainloom.support;

import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Messages and timers in virtual time, delivered in the order of their due times. */
public final class Messages {
  private static final long TIMEOUT_MS = 1_500;
  private static final int LATEST_MS = 4_000;

  private final VirtualClock clock;
  private final UniformRandomProvider random;
  private final PriorityQueue<Due> queue = new PriorityQueue<>();
  private Faults faults = Faults.none();
  private long sequence;

  private record Due(long atMs, long sequence, Runnable action) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  Messages(VirtualClock clock, UniformRandomProvider random) {
    this.clock = clock;
    this.random = random;
  }

  void faultsAre(Faults newFaults) {
    faults = newFaults;
  }

  /** Runs an action after a delay. */
  void after(long delayMs, Runnable action) {
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
      after(TIMEOUT_MS, () -> onReply.accept(unanswered));
    } else if (fate < lateFrom) {
      after(delayMs(), () -> takeEffect(effect));
      after(TIMEOUT_MS, () -> onReply.accept(unanswered));
    } else if (fate < fineFrom) {
      after(TIMEOUT_MS, () -> onReply.accept(unanswered));
      after(TIMEOUT_MS + random.nextInt(LATEST_MS), () -> takeEffect(effect));
    } else {
      after(delayMs(), () -> answer(effect.get(), unanswered, onReply));
    }
  }

  private <T> void answer(T result, T unanswered, Consumer<T> onReply) {
    if (result == null) {
      after(TIMEOUT_MS, () -> onReply.accept(unanswered));
    } else {
      after(delayMs(), () -> onReply.accept(result));
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
