package org.plantainloom.state;

/** What a time line event tells. */
public enum EventKind {
  /** A process is ready. */
  PROCESS_STARTED,
  /** A process began a planned stop. */
  PROCESS_LEAVING,
  /** A process ended. */
  PROCESS_STOPPED,
  /** A configuration revision is in force at the recording process. */
  CONFIG_APPLIED,
  /** The administration API accepted a change. */
  CHANGE_ACCEPTED,
  /** An availability zone was taken out. */
  ZONE_OUT,
  /** An availability zone came back. */
  ZONE_BACK,
  /** A scheduler became the planner. */
  PLANNER_ELECTED,
  /** A scheduler lost the planner's role. */
  PLANNER_LOST,
  /** A scheduler became the owner of a rack. */
  RACK_ACQUIRED,
  /** A scheduler handed a rack over or lost it. */
  RACK_RELEASED,
  /** A task was bound to a rack. */
  TASK_BOUND,
  /** A worker reports that a task runs. */
  TASK_RUNNING,
  /** A task was asked to stop. */
  TASK_STOPPING,
  /** An incarnation of a task has ended for good. */
  TASK_RELEASED,
  /** A task failed too often and is placed no more. */
  TASK_SET_ASIDE,
  /** A task fits no worker. */
  TASK_UNPLACEABLE,
  /** A job has nothing left to run. */
  JOB_COMPLETE,
  /** A worker failed what it started and is avoided for a while. */
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
  /** A gateway refused a request that did not run. */
  REQUEST_NOT_RUN,
  /** A gateway does not know whether a request ran. */
  REQUEST_UNKNOWN
}
