package org.plantainloom.state;

/** Type of a timeline event. */
public enum EventKind {
  /** A process is ready. */
  PROCESS_STARTED,
  /** A process began a planned shutdown. */
  PROCESS_LEAVING,
  /** A process stopped. */
  PROCESS_STOPPED,
  /** The recording process applied a configuration revision. */
  CONFIG_APPLIED,
  /** The administration API accepted a change. */
  CHANGE_ACCEPTED,
  /** An availability zone was taken out of service. */
  ZONE_OUT,
  /** An availability zone is back in service. */
  ZONE_BACK,
  /** A scheduler became the planner. */
  PLANNER_ELECTED,
  /** A scheduler lost the planner role. */
  PLANNER_LOST,
  /** A scheduler became the owner of a rack. */
  RACK_ACQUIRED,
  /** A scheduler handed over or lost the ownership of a rack. */
  RACK_RELEASED,
  /** A task was bound to a rack. */
  TASK_BOUND,
  /** A worker reported that a task is running. */
  TASK_RUNNING,
  /** A task was asked to stop. */
  TASK_STOPPING,
  /** An incarnation of a task ended and will not run again. */
  TASK_RELEASED,
  /** A task failed on too many workers and is no longer placed. */
  TASK_SET_ASIDE,
  /** No worker is large enough for a task. */
  TASK_UNPLACEABLE,
  /** A job has nothing left to run. */
  JOB_COMPLETE,
  /** Several tasks in a row failed on a worker, so it is avoided for a while. */
  WORKER_SET_ASIDE,
  /** A worker no longer answers. */
  WORKER_UNREACHABLE,
  /** A worker answers again. */
  WORKER_REACHABLE,
  /** The store stopped answering. */
  STORE_DOWN,
  /** The store answers again. */
  STORE_BACK,
  /** The set of routes changed. */
  ROUTES_CHANGED,
  /** A gateway refused a request; the request did not run. */
  REQUEST_NOT_RUN,
  /** A gateway does not know whether a request ran. */
  REQUEST_UNKNOWN
}
