package org.plantainloom.state.store;

import java.util.concurrent.CompletableFuture;

/**
 * Port to a store with transactions, leases and watches. The futures never complete exceptionally;
 * failures are part of the reply types.
 */
public interface TransactionalStore {
  /** Maximum number of entries in a transaction: expected revisions, writes and removals. */
  int MAX_ENTRIES = 32;

  /** Reads one key. */
  CompletableFuture<ReadReply> read(String key);

  /**
   * Reads one key as it was up to some seconds ago. Stores that charge less for such a read
   * override this.
   */
  default CompletableFuture<ReadReply> readStale(String key) {
    return read(key);
  }

  /** Reads all keys with a prefix. */
  CompletableFuture<ReadReply> list(String prefix);

  /**
   * Waits for changes of keys with a prefix.
   *
   * @param after the revision to continue from
   * @param waitMs how long the store may hold the call, in milliseconds
   */
  CompletableFuture<WatchReply> watch(String prefix, long after, long waitMs);

  /** Commits a transaction. */
  CompletableFuture<CommitReply> commit(Transaction transaction);

  /**
   * Requests a lease.
   *
   * @param ttlMs time to live in milliseconds
   */
  CompletableFuture<LeaseReply> grantLease(long ttlMs);

  /** Renews a lease. */
  CompletableFuture<LeaseReply> renewLease(long leaseId);

  /** Ends a lease, which removes the keys bound to it. */
  CompletableFuture<LeaseReply> endLease(long leaseId);
}
