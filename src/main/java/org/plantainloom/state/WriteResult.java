package org.plantainloom.state;

/** Answer of the store to a compare-and-swap. */
public sealed interface WriteResult {
  /**
   * The value is written.
   *
   * @param revision the key's new revision
   */
  record Written(long revision) implements WriteResult {}

  /** The key had another revision than expected; nothing was written. */
  record Conflict() implements WriteResult {}

  /**
   * No answer came: the write may have taken effect, or may yet do so.
   *
   * @param reason what happened instead
   */
  record Unknown(String reason) implements WriteResult {}
}
