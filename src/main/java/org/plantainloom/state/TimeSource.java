package org.plantainloom.state;

/** Port to the wall clock; tests pass a simulated one. */
@FunctionalInterface
public interface TimeSource {
  /** Returns the time in milliseconds since the epoch. */
  long nowMs();
}
