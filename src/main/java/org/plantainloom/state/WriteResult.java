package org.plantainloom.state;

/** Result of a write to the store. */
public sealed interface WriteResult {
  /**
   * The value is written.
   *
   * @param revision the key's new revision
   */
  record Written(long revision) implements WriteResult {}

  /** The key did not have the expected revision; nothing was written. */
  record Conflict() implements WriteResult {}

  /**
   * The store did not answer: the write may have taken effect, or may still do so.
   *
   * @param reason cause of the failure
   */
  record Unknown(String reason) implements WriteResult {}
}
