package org.plantainloom.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * What this process knows of the clocks of the owners, from moments that they store again and
 * again. An owner that is gone can then be waited for from its last confirmation instead of from
 * the takeover, see docs/design/0007.
 *
 * <p>A sample says only that the owner's clock had reached a moment when the sample was received.
 * Late and repeated samples are therefore harmless.
 *
 * <p>Not thread-safe. Times without an {@link OwnerTime} are in milliseconds of this process's
 * monotonic clock.
 */
public final class OwnerClocks {
  /** Older samples add nothing, as the drift since then exceeds the delay of a newer one. */
  private static final int MAX_SAMPLES = 20;

  /**
   * Longest step between two moments. A VM that was suspended and whose wall clock was set back in
   * one step seems to have taken less time; {@link OwnershipLease} relies on steps as long as this.
   */
  private static final long MAX_STEP_MS = OwnershipLease.ACTING_MS;

  /** Owners whose leases may still hold; each lasts for seconds at least. */
  private static final int MAX_TERMS = 8;

  private final TreeMap<Long, Samples> byTerm = new TreeMap<>();

  private record Sample(OwnerTime time, long receivedMs) {}

  private static final class Samples {
    private final long firstReceivedMs;
    private final Deque<Sample> last = new ArrayDeque<>();

    Samples(long firstReceivedMs) {
      this.firstReceivedMs = firstReceivedMs;
    }

    void add(Sample sample) {
      if (!last.isEmpty()) {
        OwnerTime before = last.getLast().time;
        if (sample.time.equals(before)) {
          if (sample.receivedMs < last.getLast().receivedMs) {
            last.removeLast();
            last.add(sample);
          }
          return;
        }
        if (sample.time.monotonicMs() <= before.monotonicMs()) {
          return;
        }
        if (sample.time.since(before) > MAX_STEP_MS) {
          last.clear();
        }
      }
      last.add(sample);
      if (last.size() > MAX_SAMPLES) {
        last.removeFirst();
      }
    }

    boolean isWithinStep(OwnerTime moment) {
      return moment.since(last.getLast().time) <= MAX_STEP_MS;
    }

    /**
     * Returns the latest time at which the clocks may have shown a moment. The elapsed time is
     * added up step by step: over a longer time both clocks may have lost some.
     */
    long latestMs(OwnerTime moment) {
      long latestMs = Long.MAX_VALUE;
      long elapsedMs = 0;
      OwnerTime later = moment;
      for (Iterator<Sample> newestFirst = last.descendingIterator(); newestFirst.hasNext(); ) {
        Sample sample = newestFirst.next();
        elapsedMs += Math.max(0, later.since(sample.time));
        latestMs = Math.min(latestMs, sample.receivedMs + ClockDrift.longestMs(elapsedMs));
        later = sample.time;
      }
      return latestMs;
    }
  }

  /**
   * Handles a moment on an owner's clocks.
   *
   * @param receivedMs a time at which the moment had certainly passed, such as when it was read
   *     from the store
   */
  public void sampled(OwnerTime time, long receivedMs) {
    byTerm
        .computeIfAbsent(time.term(), term -> new Samples(receivedMs))
        .add(new Sample(time, receivedMs));
    if (byTerm.size() > MAX_TERMS) {
      byTerm.pollFirstEntry();
    }
  }

  /** Returns the latest time at which an owner's clocks may have shown a moment. */
  public OptionalLong latestMs(OwnerTime moment) {
    Samples samples = byTerm.get(moment.term());
    return samples == null ? OptionalLong.empty() : OptionalLong.of(samples.latestMs(moment));
  }

  /**
   * Returns the latest time at which the store may have confirmed any owner up to the one of a
   * moment; empty if that is not known.
   *
   * @param last when that owner sent its last confirmation that was carried out
   */
  public OptionalLong latestConfirmationMs(OwnerTime last) {
    OptionalLong latestMs = latestOwnConfirmationMs(last);
    return latestMs.isEmpty()
        ? latestMs
        // The owners before it were not confirmed any more when its first one was carried out.
        : OptionalLong.of(Math.max(latestMs.getAsLong(), byTerm.get(last.term()).firstReceivedMs));
  }

  /**
   * Returns the latest time at which an owner may have sent its last confirmation; empty if that is
   * not known. Unless that was its claim, the owners before it were confirmed earlier.
   */
  OptionalLong latestOwnConfirmationMs(OwnerTime last) {
    Samples samples = byTerm.get(last.term());
    boolean known =
        samples != null
            && samples.last.getLast().time.monotonicMs() <= last.monotonicMs()
            && samples.isWithinStep(last);
    return known ? OptionalLong.of(samples.latestMs(last)) : OptionalLong.empty();
  }
}
