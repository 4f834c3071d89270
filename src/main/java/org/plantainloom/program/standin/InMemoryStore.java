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

/** Key-value service in the small: compare-and-swap, leases, watches, in memory. */
public final class InMemoryStore {
  private final Map<String, Versioned> entries = new TreeMap<>();
  private final Map<String, List<CompletableFuture<Void>>> watches = new HashMap<>();
  private final TimeSource time;
  private long lastRevision;

  private record Versioned(String value, long revision, long expiresMs) {}

  /** Creates an empty store. */
  public InMemoryStore(TimeSource time) {
    this.time = time;
  }

  /** Returns a key's value. */
  public synchronized Optional<StoreValue> read(String key) {
    return live(key).map(v -> new StoreValue(v.value(), v.revision()));
  }

  private Optional<Versioned> live(String key) {
    Versioned found = entries.get(key);
    if (found != null && found.expiresMs() <= time.nowMs()) {
      entries.remove(key);
      return Optional.empty();
    }
    return Optional.ofNullable(found);
  }

  /** Returns the entries whose keys have the prefix. */
  public synchronized StoreList list(String prefix) {
    List<StoreEntry> found = new ArrayList<>();
    for (String key : List.copyOf(entries.keySet())) {
      if (key.startsWith(prefix)) {
        live(key).ifPresent(v -> found.add(new StoreEntry(key, v.value(), v.revision())));
      }
    }
    return new StoreList(found);
  }

  /** Writes a key if it has the expected revision; returns the new revision if it had. */
  public synchronized OptionalLong compareAndSwap(String key, long expected, String value) {
    long current = live(key).map(Versioned::revision).orElse(KeyValueStore.ABSENT);
    if (current != expected) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(put(key, value, Long.MAX_VALUE));
  }

  /** Writes a key that vanishes after the time to live; 0 removes it. */
  public synchronized long putLeased(String key, String value, long ttlMs) {
    if (ttlMs <= 0) {
      entries.remove(key);
      return ++lastRevision;
    }
    return put(key, value, time.nowMs() + ttlMs);
  }

  private long put(String key, String value, long expiresMs) {
    entries.put(key, new Versioned(value, ++lastRevision, expiresMs));
    List<CompletableFuture<Void>> waiting = watches.remove(key);
    if (waiting != null) {
      waiting.forEach(w -> w.complete(null));
    }
    return lastRevision;
  }

  /** Returns a future that completes when the key's revision differs from the known one. */
  synchronized CompletableFuture<Void> changed(String key, long known, long waitMs) {
    long current = live(key).map(Versioned::revision).orElse(KeyValueStore.ABSENT);
    if (current != known) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> watch = new CompletableFuture<>();
    watches.computeIfAbsent(key, k -> new ArrayList<>()).add(watch);
    return watch.completeOnTimeout(null, waitMs, TimeUnit.MILLISECONDS);
  }
}
