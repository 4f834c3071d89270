package org.plantainloom.state.store;

import java.util.concurrent.CompletableFuture;

/** Port to a store with transactions, leases and watches. Calls never fail. */
public interface TransactionalStore {
  /** Most entries of one transaction, counting required revisions, writes and removals. */
  int MAX_ENTRIES = 32;

  /** Reads one key. */
  CompletableFuture<ReadReply> read(String key);

  /** Reads all keys with a prefix. */
  CompletableFuture<ReadReply> list(String prefix);

  /**
   * Waits for changes below a prefix.
   *
   * @param after the revision to continue from
   * @param waitMs how long the store may hold the call, in milliseconds
   */
  CompletableFuture<WatchReply> watch(String prefix, long after, long waitMs);

  /** Carries out a transaction. */
  CompletableFuture<CommitReply> commit(Transaction transaction);

  /**
   * Asks for a lease.
   *
   * @param ttlMs time to live in milliseconds
   */
  CompletableFuture<LeaseReply> grantLease(long ttlMs);

  /** Renews a lease. */
  CompletableFuture<LeaseReply> renewLease(long leaseId);

  /** Ends a lease and removes its keys. */
  CompletableFuture<LeaseReply> endLease(long leaseId);
}
