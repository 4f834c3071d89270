package org.plantainloom.coordination.plan;

import java.util.HashMap;
import java.util.Map;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.WorkloadKind;

/** A worker during one planning round: what is free and what runs there. */
public final class FleetWorker {
  private final WorkerInfo info;
  private final boolean usable;
  private ResourceVector free;
  private final Map<String, Integer> replicas = new HashMap<>();

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
  public void take(TaskId task, WorkloadKind kind, ResourceVector size) {
    free = free.minus(size);
    if (kind == WorkloadKind.SERVICE) {
      replicas.merge(serviceKey(task), 1, Integer::sum);
    }
  }

  /** Gives back the resources of a task. */
  public void giveBack(ResourceVector size) {
    free = free.plus(size);
  }

  /** Returns how many replicas of the task's service are on the worker. */
  public int replicasOf(TaskId task) {
    return replicas.getOrDefault(serviceKey(task), 0);
  }

  static String serviceKey(TaskId task) {
    return task.team() + "/" + task.workload();
  }
}
