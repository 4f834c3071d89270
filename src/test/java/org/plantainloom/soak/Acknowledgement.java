package org.plantainloom.soak;

/**
 * The first response that acknowledged the cancellation of a job.
 *
 * @param node the node that responded
 * @param status the status of the response
 * @param submission what the caller knew of its submission then
 */
record Acknowledgement(long atMs, int node, int status, String submission) {
  @Override
  public String toString() {
    return "cancellation acknowledged with "
        + status
        + " by node-"
        + node
        + " at "
        + Violation.wallMs(atMs)
        + ", submission "
        + submission;
  }
}
