package org.plantainloom.support;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.program.standin.InMemoryStore;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.StoreEntry;
import org.plantainloom.state.WriteResult;

/**
 * In-memory {@link KeyValueStore} that can lose the reply of a write after the write took effect.
 */
public final class FakeStore implements KeyValueStore {
  private final InMemoryStore store = new InMemoryStore(new VirtualClock(1));
  private int repliesToLose;

  /** Makes the next {@code count} compare-and-swap calls take effect but lose their replies. */
  public FakeStore losingAnswers(int count) {
    repliesToLose = count;
    return this;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return completedFuture(
        store
            .read(key)
            .<ReadResult>map(v -> new ReadResult.Found(v.value(), v.revision()))
            .orElse(new ReadResult.Absent()));
  }

  @Override
  public CompletableFuture<Optional<List<StoreEntry>>> list(String prefix) {
    return completedFuture(Optional.of(store.list(prefix).entries()));
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSwap(
      String key, long expectedRevision, String value) {
    OptionalLong revision = store.compareAndSwap(key, expectedRevision, value);
    if (repliesToLose > 0) {
      repliesToLose--;
      return completedFuture(new WriteResult.Unknown("reply lost"));
    }
    return completedFuture(
        revision.isPresent()
            ? new WriteResult.Written(revision.getAsLong())
            : new WriteResult.Conflict());
  }

  @Override
  public CompletableFuture<WriteResult> putLeased(String key, String value, long ttlMs) {
    return completedFuture(new WriteResult.Written(store.putLeased(key, value, ttlMs)));
  }

  @Override
  public CompletableFuture<ReadResult> watch(String key, long knownRevision, long waitMs) {
    return read(key);
  }
}
