package org.plantainloom.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
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

  /** Owners whose leases may still hold; each lasts for seconds at least. */
  private static final int MAX_TERMS = 8;

  private final TreeMap<Long, Samples> byTerm = new TreeMap<>();

  private record Sample(OwnerTime time, long receivedMs) {
    long latestMs(OwnerTime moment) {
      return receivedMs + ClockDrift.longestMs(Math.max(0, moment.since(time)));
    }
  }

  private static final class Samples {
    private final long firstReceivedMs;
    private final Deque<Sample> last = new ArrayDeque<>();

    Samples(long firstReceivedMs) {
      this.firstReceivedMs = firstReceivedMs;
    }

    void add(Sample sample) {
      if (last.isEmpty() || sample.time.monotonicMs() > last.getLast().time.monotonicMs()) {
        last.add(sample);
        if (last.size() > MAX_SAMPLES) {
          last.removeFirst();
        }
      }
    }
  }

  /**
   * Handles a moment that an owner has stored.
   *
   * @param receivedMs when it was read, at the earliest after the moment
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
    return samples == null
        ? OptionalLong.empty()
        : samples.last.stream().mapToLong(sample -> sample.latestMs(moment)).min();
  }

  /**
   * Returns the latest time at which the store may have confirmed any owner up to the one of a
   * moment; empty if that is not known.
   *
   * @param last when that owner sent its last confirmation that was carried out
   */
  public OptionalLong latestConfirmationMs(OwnerTime last) {
    Samples samples = byTerm.get(last.term());
    if (samples == null || samples.last.getLast().time.monotonicMs() > last.monotonicMs()) {
      return OptionalLong.empty();
    }
    // The owners before it were not confirmed any more when its first confirmation was carried out.
    long latestMs = Math.max(latestMs(last).orElseThrow(), samples.firstReceivedMs);
    return OptionalLong.of(latestMs);
  }
}
