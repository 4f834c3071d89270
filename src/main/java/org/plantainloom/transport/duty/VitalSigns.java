package org.plantainloom.transport.duty;

import java.util.Optional;

/**
 * Judges by samples whether a process can go on. Not thread-safe.
 *
 * <p>The platform starts a process again that has ended, but not one that no longer does its work.
 * A pause that the machine makes is no reason to end: all threads stand still then, so that samples
 * which come late count for nothing.
 */
public final class VitalSigns {
  /** Interval of the samples, in milliseconds. */
  public static final long SAMPLE_INTERVAL_MS = 500;

  /** With less of its heap free than this, a process spends its time on collections. */
  private static final double MIN_FREE_SHARE = 0.03;

  /** Collections free memory within one of several samples, unless nearly all of it is in use. */
  private static final int FULL_SAMPLES = 10;

  /**
   * Time without a tick, in samples that are on time. The longest pauses seen at a busy node are
   * some seconds, and the ownership is lost after three.
   */
  private static final long MAX_MS_WITHOUT_TICK = 30_000;

  private int fullSamples;
  private long lastTickCount = -1;
  private long withoutTickMs;

  /** Creates the judgement of a process that has just started. */
  public VitalSigns() {}

  /**
   * Adds a sample.
   *
   * @param elapsedMs time since the last sample
   * @param usedHeapBytes heap in use, with what may be collected
   * @param maxHeapBytes the largest heap
   * @param tickCount number that changes while the event loop turns
   * @return why the process cannot go on; empty if it can
   */
  public Optional<String> sample(
      long elapsedMs, long usedHeapBytes, long maxHeapBytes, long tickCount) {
    boolean full = maxHeapBytes - usedHeapBytes < MIN_FREE_SHARE * maxHeapBytes;
    fullSamples = full ? fullSamples + 1 : 0;
    boolean ticked = tickCount != lastTickCount;
    boolean onTime = elapsedMs < 2 * SAMPLE_INTERVAL_MS;
    lastTickCount = tickCount;
    withoutTickMs = ticked ? 0 : withoutTickMs + (onTime ? elapsedMs : 0);
    if (fullSamples >= FULL_SAMPLES) {
      return Optional.of("heap full: " + usedHeapBytes + " of " + maxHeapBytes + " bytes in use");
    }
    return withoutTickMs >= MAX_MS_WITHOUT_TICK
        ? Optional.of("event loop busy for " + withoutTickMs + " ms")
        : Optional.empty();
  }
}
