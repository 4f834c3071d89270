package org.plantainloom.state;

/** Answer of the store to a read. */
public sealed interface ReadResult {
  /**
   * The key has a value.
   *
   * @param value the value
   * @param revision number that grows with each write of the key
   */
  record Found(String value, long revision) implements ReadResult {}

  /** The key has no value. */
  record Absent() implements ReadResult {}

  /**
   * The store did not answer.
   *
   * @param reason what happened instead
   */
  record Unavailable(String reason) implements ReadResult {}
}
