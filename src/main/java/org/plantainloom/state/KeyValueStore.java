package org.plantainloom.state;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Port to the platform's key-value service. */
public interface KeyValueStore {
  /** Expected revision of a key that has no value. */
  long ABSENT = 0;

  /** Reads one key. */
  CompletableFuture<ReadResult> read(String key);

  /** Reads all keys with a prefix, or returns empty if the store does not answer. */
  CompletableFuture<Optional<List<StoreEntry>>> list(String prefix);

  /**
   * Writes a key if it still has the expected revision.
   *
   * @param expectedRevision the revision that was read, or {@link #ABSENT}
   */
  CompletableFuture<WriteResult> compareAndSwap(String key, long expectedRevision, String value);

  /**
   * Writes a key that expires unless it is written again in time.
   *
   * @param ttlMs time to live in milliseconds; 0 removes the key
   */
  CompletableFuture<WriteResult> putLeased(String key, String value, long ttlMs);

  /**
   * Waits until a key's revision differs from the known one.
   *
   * @param waitMs how long the store may hold the call, in milliseconds
   */
  CompletableFuture<ReadResult> watch(String key, long knownRevision, long waitMs);
}
