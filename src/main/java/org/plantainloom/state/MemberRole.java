package org.plantainloom.state;

/** Program that a member runs. */
public enum MemberRole {
  /** Answers callers. */
  GATEWAY,
  /** Places tasks and serves the administration API. */
  SCHEDULER
}
