package org.plantainloom.soak;

import java.io.IOException;

/** Lets the process of a node run for a part of each tenth of a second only. */
final class UsageCap implements AutoCloseable {
  private static final long PERIOD_MS = 100;

  private final SoakNode node;
  private final long runMs;
  private final Thread thread = new Thread(this::run, "usage-cap");
  private volatile boolean closed;

  private UsageCap(SoakNode node, int percent) {
    this.node = node;
    this.runMs = PERIOD_MS * percent / 100;
  }

  static UsageCap start(SoakNode node, int percent) {
    UsageCap cap = new UsageCap(node, percent);
    cap.thread.setDaemon(true);
    cap.thread.start();
    return cap;
  }

  private void run() {
    try {
      while (!closed) {
        node.suspend(true);
        Thread.sleep(PERIOD_MS - runMs);
        node.suspend(false);
        Thread.sleep(runMs);
      }
    } catch (InterruptedException | IOException e) {
      // The process runs again once the cap is closed.
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    try {
      thread.join();
      node.suspend(false);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
