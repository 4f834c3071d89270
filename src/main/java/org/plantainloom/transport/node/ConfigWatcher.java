package org.plantainloom.transport.node;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.ConfigIndex;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.Keys;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.ZoneName;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.DecodeErrorLog;
import org.plantainloom.transport.http.ProcessContext;

/** Watches the configuration index in the store, and also reads it on demand. */
public final class ConfigWatcher implements AutoCloseable {
  private static final long WATCH_TIMEOUT_MS = 20_000;
  private static final long RETRY_MS = 500;
  private static final long MAX_READ_AGE_MS = 5_000;

  private final ProcessContext process;
  private final KeyValueStore store;
  private final EventLoop eventLoop;
  private final List<Consumer<ConfigIndexReading>> listeners = new CopyOnWriteArrayList<>();
  private final DecodeErrorLog errors = new DecodeErrorLog();
  private ConfigIndex index = ConfigIndex.empty();
  private long storeRevision;
  private boolean unreadable;
  private boolean watchPending;
  private boolean readPending;
  private long retryAtMs;
  private long lastReadMs;

  /** Starts watching the index. */
  public ConfigWatcher(ProcessContext process, KeyValueStore store) {
    this.process = process;
    this.store = store;
    this.eventLoop = EventLoop.start("config", RETRY_MS, this::tick);
    eventLoop.execute(this::tick);
  }

  /** Adds a listener for each reading; it is called on the event loop of this watcher. */
  public void addListener(Consumer<ConfigIndexReading> listener) {
    listeners.add(listener);
  }

  /** Reads the index now, unless a read is in progress. */
  public void refresh() {
    eventLoop.execute(this::read);
  }

  private void tick() {
    if (process.nowMs() < retryAtMs) {
      return;
    }
    watch();
    // A watch can stop responding without an error, so the index is also read periodically.
    if (process.nowMs() - lastReadMs > MAX_READ_AGE_MS) {
      read();
    }
  }

  private void watch() {
    if (watchPending) {
      return;
    }
    watchPending = true;
    long sentMs = process.nowMs();
    eventLoop.onResult(
        store.watch(Keys.CONFIG_INDEX, storeRevision, WATCH_TIMEOUT_MS),
        result -> {
          watchPending = false;
          onIndexRead(result, sentMs);
        });
  }

  private void read() {
    if (readPending) {
      return;
    }
    readPending = true;
    long sentMs = process.nowMs();
    eventLoop.onResult(
        store.read(Keys.CONFIG_INDEX),
        result -> {
          readPending = false;
          onIndexRead(result, sentMs);
        });
  }

  private void onIndexRead(ReadResult result, long sentMs) {
    if (result instanceof ReadResult.Unavailable) {
      retryAtMs = process.nowMs() + RETRY_MS;
      return;
    }
    if (result instanceof ReadResult.Found found && found.revision() > storeRevision) {
      decode(found);
    }
    lastReadMs = Math.max(lastReadMs, sentMs);
    // An unreadable index may take zones out, so it must not confirm that the others are in.
    if (!unreadable) {
      ConfigIndexReading latest = new ConfigIndexReading(index, sentMs);
      listeners.forEach(listener -> listener.accept(latest));
    }
    tick();
  }

  private void decode(ReadResult.Found found) {
    storeRevision = found.revision();
    try {
      apply(Json.read(found.value(), ConfigIndex.class));
      unreadable = false;
      errors.readable(Keys.CONFIG_INDEX);
    } catch (MalformedMessageException e) {
      unreadable = true;
      errors.failed(Keys.CONFIG_INDEX, e);
    }
  }

  private void apply(ConfigIndex newIndex) {
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
    process.record(EventKind.CONFIG_APPLIED, "config", "revision " + newIndex.revision());
  }

  @Override
  public void close() {
    eventLoop.close();
  }
}
