package org.plantainloom.coordination.rack;

/**
 * Version of a rack's status that the planner has already received.
 *
 * @param rackEpoch epoch of the ownership that reported it
 * @param version version of the status within that ownership, from 1
 */
public record StatusVersion(long rackEpoch, long version) {
  /** No status has been received. */
  public static final StatusVersion NONE = new StatusVersion(0, 0);
}
