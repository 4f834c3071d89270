package org.plantainloom.transport.node;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.ConfigIndex;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.Keys;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.ZoneName;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.ProcessContext;

/** Follows the index of the configuration by one watch and reads it afresh on demand. */
public final class ConfigWatcher implements AutoCloseable {
  private static final long WATCH_MS = 20_000;
  private static final long RETRY_MS = 500;
  private static final long MAX_AGE_MS = 5_000;

  private final ProcessContext process;
  private final KeyValueStore store;
  private final EventLoop duty;
  private final List<Consumer<IndexReading>> listeners = new CopyOnWriteArrayList<>();
  private ConfigIndex index = ConfigIndex.empty();
  private long revision;
  private boolean watching;
  private boolean reading;
  private long retryAtMs;
  private long asOfMs;

  /** Starts following the index. */
  public ConfigWatcher(ProcessContext process, KeyValueStore store) {
    this.process = process;
    this.store = store;
    this.duty = EventLoop.start("config", RETRY_MS, this::tick);
    duty.execute(this::tick);
  }

  /** Adds a listener that is told of each reading; it is called on this duty's thread. */
  public void listen(Consumer<IndexReading> listener) {
    listeners.add(listener);
  }

  /** Reads the index now, unless a read is under way. */
  public void refresh() {
    duty.execute(this::read);
  }

  private void tick() {
    if (process.nowMs() < retryAtMs) {
      return;
    }
    watch();
    // A watch can go silent without an error, so the index is also read at a slow pace.
    if (process.nowMs() - asOfMs > MAX_AGE_MS) {
      read();
    }
  }

  private void watch() {
    if (watching) {
      return;
    }
    watching = true;
    long sentMs = process.nowMs();
    duty.onResult(
        store.watch(Keys.CONFIG_INDEX, revision, WATCH_MS),
        result -> {
          watching = false;
          seen(result, sentMs);
        });
  }

  private void read() {
    if (reading) {
      return;
    }
    reading = true;
    long sentMs = process.nowMs();
    duty.onResult(
        store.read(Keys.CONFIG_INDEX),
        result -> {
          reading = false;
          seen(result, sentMs);
        });
  }

  private void seen(ReadResult result, long sentMs) {
    if (result instanceof ReadResult.Unavailable) {
      retryAtMs = process.nowMs() + RETRY_MS;
      return;
    }
    if (result instanceof ReadResult.Found found && found.revision() > revision) {
      apply(Json.read(found.value(), ConfigIndex.class), found.revision());
    }
    asOfMs = Math.max(asOfMs, sentMs);
    IndexReading latest = new IndexReading(index, sentMs);
    listeners.forEach(l -> l.accept(latest));
    tick();
  }

  private void apply(ConfigIndex newIndex, long newRevision) {
    String detail = "config " + newIndex.revision();
    for (ZoneName zone : newIndex.zonesOut()) {
      if (!index.zonesOut().contains(zone)) {
        process.record(EventKind.ZONE_OUT, zone, detail);
      }
    }
    for (ZoneName zone : index.zonesOut()) {
      if (!newIndex.zonesOut().contains(zone)) {
        process.record(EventKind.ZONE_BACK, zone, detail);
      }
    }
    index = newIndex;
    revision = newRevision;
    process.record(EventKind.CONFIG_APPLIED, "config", "revision " + newIndex.revision());
  }

  @Override
  public void close() {
    duty.close();
  }
}
