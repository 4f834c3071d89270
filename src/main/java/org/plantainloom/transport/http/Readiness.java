package org.plantainloom.transport.http;

/** Whether a process accepts new work; load balancers query it through the readiness endpoint. */
public final class Readiness {
  private volatile boolean ready;

  /** Sets whether the process accepts new work. */
  public void set(boolean newReady) {
    ready = newReady;
  }

  /** Returns whether the process accepts new work. */
  public boolean isReady() {
    return ready;
  }
}
