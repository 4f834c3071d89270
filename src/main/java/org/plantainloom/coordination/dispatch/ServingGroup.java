package org.plantainloom.coordination.dispatch;

/**
 * The serving tasks of one phase on one worker, as of the last poll. They share their users, so
 * their loads rise and fall together and count as one measurement.
 */
final class ServingGroup {
  /** Number of tasks that served. */
  int tasks;

  /** Mean slack of the tasks. */
  double slack;

  /** The slack that they would have had without fill tasks. */
  double ownSlack;
}
