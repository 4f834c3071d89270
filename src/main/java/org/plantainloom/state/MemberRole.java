package org.plantainloom.state;

/** Program that a member runs. */
public enum MemberRole {
  /** Routes the requests of callers to workers. */
  GATEWAY,
  /** Places tasks and serves the administration API. */
  SCHEDULER
}
