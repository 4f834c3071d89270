package org.plantainloom.support;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.StoreEntry;
import org.plantainloom.state.WriteResult;

/**
 * {@link KeyValueStore} in memory whose watches wait for the next write, and that counts the reads
 * of each key. Leases do not expire.
 */
public final class WatchableStore implements KeyValueStore {
  private final Map<String, StoreEntry> entries = new TreeMap<>();
  private final Map<String, Integer> reads = new HashMap<>();
  private final List<Runnable> watches = new ArrayList<>();
  private long lastRevision;

  /** Writes a key unconditionally, as another writer does. */
  public void put(String key, String value) {
    List<Runnable> pending;
    synchronized (this) {
      entries.put(key, new StoreEntry(key, value, ++lastRevision));
      pending = List.copyOf(watches);
      watches.clear();
    }
    pending.forEach(Runnable::run);
  }

  /** Returns the value of a key. */
  public synchronized Optional<String> value(String key) {
    return Optional.ofNullable(entries.get(key)).map(StoreEntry::value);
  }

  /** Returns how often a key was read, watches and lists excepted. */
  public synchronized int reads(String key) {
    return reads.getOrDefault(key, 0);
  }

  @Override
  public synchronized CompletableFuture<ReadResult> read(String key) {
    reads.merge(key, 1, Integer::sum);
    return completedFuture(current(key));
  }

  private ReadResult current(String key) {
    StoreEntry entry = entries.get(key);
    return entry == null
        ? new ReadResult.Absent()
        : new ReadResult.Found(entry.value(), entry.revision());
  }

  @Override
  public synchronized CompletableFuture<Optional<List<StoreEntry>>> list(String prefix) {
    return completedFuture(
        Optional.of(
            entries.values().stream().filter(entry -> entry.key().startsWith(prefix)).toList()));
  }

  @Override
  public synchronized CompletableFuture<WriteResult> compareAndSwap(
      String key, long expectedRevision, String value) {
    StoreEntry entry = entries.get(key);
    if ((entry == null ? ABSENT : entry.revision()) != expectedRevision) {
      return completedFuture(new WriteResult.Conflict());
    }
    put(key, value);
    return completedFuture(new WriteResult.Written(lastRevision));
  }

  @Override
  public synchronized CompletableFuture<WriteResult> putLeased(
      String key, String value, long ttlMs) {
    if (ttlMs <= 0) {
      entries.remove(key);
    } else {
      put(key, value);
    }
    return completedFuture(new WriteResult.Written(lastRevision));
  }

  @Override
  public synchronized CompletableFuture<ReadResult> watch(
      String key, long knownRevision, long waitMs) {
    StoreEntry entry = entries.get(key);
    if ((entry == null ? ABSENT : entry.revision()) != knownRevision) {
      return completedFuture(current(key));
    }
    CompletableFuture<Void> nextWrite = new CompletableFuture<>();
    watches.add(() -> nextWrite.complete(null));
    return nextWrite.thenCompose(x -> watch(key, knownRevision, waitMs));
  }
}
