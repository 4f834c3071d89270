package org.plantainloom.coordination.plan;

import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.WorkerInfo;

/** A worker during one planning round: what is free. */
public final class FleetWorker {
  private final WorkerInfo info;
  private final boolean usable;
  private ResourceVector free;

  /** Creates an empty worker; an unusable one only serves to account for what runs there. */
  public FleetWorker(WorkerInfo info, boolean usable) {
    this.info = info;
    this.usable = usable;
    this.free = info.capacity();
  }

  /** Returns the worker's description. */
  public WorkerInfo info() {
    return info;
  }

  /** Returns whether new tasks may be bound to the worker. */
  public boolean isUsable() {
    return usable;
  }

  /** Returns what is neither committed nor promised. */
  public ResourceVector free() {
    return free;
  }

  /** Takes resources for a task. */
  public void reserve(ResourceVector size) {
    free = free.minus(size);
  }

  /** Gives back the resources of a task. */
  public void release(ResourceVector size) {
    free = free.plus(size);
  }
}
