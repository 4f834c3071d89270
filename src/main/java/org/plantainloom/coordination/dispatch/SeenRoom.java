package org.plantainloom.coordination.dispatch;

/**
 * How often there has lately been room for a task, as an observer of the workers sees it.
 *
 * <p>Where short tasks follow one another, the room of one that has ended is free at the worker
 * until the next one is there, though the owner has given it away by then.
 */
final class SeenRoom {
  /** Samples are taken ten times a second, so these are 2 s, of the 3 s that the rule allows. */
  private static final int SAMPLES = 20;

  private static final long MASK = (1L << SAMPLES) - 1;

  /** A third: the owner sees only a part of the time in which room is free. */
  private static final int MIN_SAMPLES_WITH_ROOM = 7;

  private long samples;

  void add(boolean room) {
    samples = samples << 1 | (room ? 1 : 0);
  }

  /** Returns whether a task has to start, as there is room again and again. */
  boolean isFrequent() {
    return Long.bitCount(samples & MASK) >= MIN_SAMPLES_WITH_ROOM;
  }
}
