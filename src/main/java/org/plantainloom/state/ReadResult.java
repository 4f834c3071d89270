package org.plantainloom.state;

/** Result of a read from the store. */
public sealed interface ReadResult {
  /**
   * The key has a value.
   *
   * @param value the value
   * @param revision increases with each write of the key
   */
  record Found(String value, long revision) implements ReadResult {}

  /** The key has no value. */
  record Absent() implements ReadResult {}

  /**
   * The store did not answer.
   *
   * @param reason cause of the failure
   */
  record Unavailable(String reason) implements ReadResult {}
}
