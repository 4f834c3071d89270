package org.plantainloom.coordination.plan;

import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.WorkerInfo;

/** A worker and its free resources during one planning round. */
public final class FleetWorker {
  private final WorkerInfo info;
  private final boolean usable;
  private ResourceVector free;

  /**
   * Creates a worker on which nothing is reserved; an unusable one only holds the tasks already on
   * it.
   */
  public FleetWorker(WorkerInfo info, boolean usable) {
    this.info = info;
    this.usable = usable;
    this.free = info.capacity();
  }

  /** Returns the worker as listed. */
  public WorkerInfo info() {
    return info;
  }

  /** Returns whether new tasks may be bound to the worker. */
  public boolean isUsable() {
    return usable;
  }

  /** Returns the resources that are neither committed nor reserved. */
  public ResourceVector free() {
    return free;
  }

  /** Reserves resources for a task. */
  public void reserve(ResourceVector size) {
    free = free.minus(size);
  }

  /** Releases the resources of a task. */
  public void release(ResourceVector size) {
    free = free.plus(size);
  }
}
