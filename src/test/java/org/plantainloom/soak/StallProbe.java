package org.plantainloom.soak;

import com.linecorp.armeria.client.WebClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;

/**
 * Calls the simulated store all the time, on a path without faults. Where the machine is
 * overloaded, the store, the workers and the proxies respond late although no fault was injected;
 * such times are no calm for the nodes.
 */
final class StallProbe implements AutoCloseable {
  /** A response later than this is a stall; nodes give up most of their calls by then. */
  static final long STALL_MS = 1_000;

  private static final long INTERVAL_MS = 100;
  private static final long TIMEOUT_MS = 60_000;
  private static final String ANY_KEY = "/-/kv-key?key=probe";

  private final WebClient store;
  private final List<Stall> stalls = new ArrayList<>();
  private final Thread thread = new Thread(this::run, "stall-probe");
  private volatile boolean closed;
  private volatile long calledMs = SoakRun.nowMs();
  private volatile boolean waiting;

  /** A time in which the store did not respond. */
  record Stall(long startMs, long endMs) {}

  private StallProbe(String storeAddress) {
    this.store =
        WebClient.builder("h1c://" + storeAddress).responseTimeoutMillis(TIMEOUT_MS).build();
  }

  static StallProbe start(String storeAddress) {
    StallProbe probe = new StallProbe(storeAddress);
    probe.thread.setDaemon(true);
    probe.thread.start();
    return probe;
  }

  private void run() {
    try {
      while (!closed) {
        calledMs = SoakRun.nowMs();
        waiting = true;
        call();
        waiting = false;
        add(calledMs, SoakRun.nowMs());
        Thread.sleep(INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      // The probe was closed.
    }
  }

  private void call() {
    try {
      store.get(ANY_KEY).aggregate().join();
    } catch (CompletionException e) {
      // Only the time counts.
    }
  }

  private synchronized void add(long startMs, long endMs) {
    if (endMs - startMs > STALL_MS) {
      stalls.add(new Stall(startMs, endMs));
    }
  }

  /** Returns the stalls up to now. */
  synchronized List<Stall> stalls() {
    List<Stall> all = new ArrayList<>(stalls);
    if (waiting && SoakRun.nowMs() - calledMs > STALL_MS) {
      all.add(new Stall(calledMs, SoakRun.nowMs()));
    }
    return all;
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
