package org.plantainloom.transport.http;

/** Whether a process wants new work; its readiness endpoint tells the balancer. */
public final class Readiness {
  private volatile boolean ready;

  /** Sets whether the process wants new work. */
  public void set(boolean newReady) {
    ready = newReady;
  }

  /** Returns whether the process wants new work. */
  public boolean isReady() {
    return ready;
  }
}
