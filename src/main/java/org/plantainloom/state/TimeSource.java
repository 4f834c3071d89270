package org.plantainloom.state;

/** Port to the clock; tests pass a virtual one. */
@FunctionalInterface
public interface TimeSource {
  /** Returns the time in milliseconds since the epoch. */
  long nowMs();
}
