package org.plantainloom.support;

import java.util.concurrent.CompletableFuture;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.LeaseReply;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.state.store.TransactionalStore;
import org.plantainloom.state.store.WatchReply;

/** A store that serves no call; tests override those that they expect. */
public abstract class UnsupportedStore implements TransactionalStore {
  @Override
  public CompletableFuture<ReadReply> read(String key) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<ReadReply> list(String prefix) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<WatchReply> watch(String prefix, long after, long waitMs) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<CommitReply> commit(Transaction transaction) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<LeaseReply> grantLease(long ttlMs) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<LeaseReply> renewLease(long leaseId) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<LeaseReply> endLease(long leaseId) {
    throw new UnsupportedOperationException();
  }
}
