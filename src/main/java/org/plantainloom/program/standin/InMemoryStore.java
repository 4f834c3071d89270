package org.plantainloom.program.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainloom.protocol.message.StoreList;
import org.plantainloom.protocol.message.StoreValue;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.StoreEntry;
import org.plantainloom.state.TimeSource;

/** A key-value store in memory with compare-and-swap, leases and watches. */
public final class InMemoryStore {
  private final Map<String, Versioned> entries = new TreeMap<>();
  private final Map<String, List<CompletableFuture<Void>>> pendingWatches = new HashMap<>();
  private final TimeSource time;
  private long lastRevision;

  private record Versioned(String value, long revision, long expiresMs) {}

  /** Creates an empty store. */
  public InMemoryStore(TimeSource time) {
    this.time = time;
  }

  /** Returns the value and revision of a key, or empty if it is absent or has expired. */
  public synchronized Optional<StoreValue> read(String key) {
    return findUnexpired(key).map(v -> new StoreValue(v.value(), v.revision()));
  }

  private Optional<Versioned> findUnexpired(String key) {
    Versioned found = entries.get(key);
    if (found != null && found.expiresMs() <= time.nowMs()) {
      entries.remove(key);
      return Optional.empty();
    }
    return Optional.ofNullable(found);
  }

  /** Returns the entries whose keys start with the prefix. */
  public synchronized StoreList list(String prefix) {
    List<StoreEntry> found = new ArrayList<>();
    for (String key : List.copyOf(entries.keySet())) {
      if (key.startsWith(prefix)) {
        findUnexpired(key).ifPresent(v -> found.add(new StoreEntry(key, v.value(), v.revision())));
      }
    }
    return new StoreList(found);
  }

  /** Writes a key if it has the expected revision; returns the new revision, or empty if not. */
  public synchronized OptionalLong compareAndSwap(String key, long expectedRevision, String value) {
    long currentRevision = findUnexpired(key).map(Versioned::revision).orElse(KeyValueStore.ABSENT);
    if (currentRevision != expectedRevision) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(put(key, value, Long.MAX_VALUE));
  }

  /** Writes a key that expires after the time to live; a time to live of 0 removes the key. */
  public synchronized long putLeased(String key, String value, long ttlMs) {
    if (ttlMs <= 0) {
      entries.remove(key);
      return ++lastRevision;
    }
    return put(key, value, time.nowMs() + ttlMs);
  }

  private long put(String key, String value, long expiresMs) {
    entries.put(key, new Versioned(value, ++lastRevision, expiresMs));
    List<CompletableFuture<Void>> watches = pendingWatches.remove(key);
    if (watches != null) {
      watches.forEach(w -> w.complete(null));
    }
    return lastRevision;
  }

  /**
   * Returns a future that completes as soon as the key's revision differs from the known one, or
   * after the wait time.
   */
  synchronized CompletableFuture<Void> awaitChange(String key, long knownRevision, long waitMs) {
    long currentRevision = findUnexpired(key).map(Versioned::revision).orElse(KeyValueStore.ABSENT);
    if (currentRevision != knownRevision) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> watch = new CompletableFuture<>();
    pendingWatches.computeIfAbsent(key, k -> new ArrayList<>()).add(watch);
    return watch.completeOnTimeout(null, waitMs, TimeUnit.MILLISECONDS);
  }
}
