package org.plantainloom.coordination.rack;

/**
 * How much the planner knows of a rack's status.
 *
 * @param rackEpoch epoch of the ownership that told it
 * @param version version of the status within that ownership
 */
public record StatusVersion(long rackEpoch, long version) {
  /** Nothing is known. */
  public static final StatusVersion NONE = new StatusVersion(0, 0);
}
