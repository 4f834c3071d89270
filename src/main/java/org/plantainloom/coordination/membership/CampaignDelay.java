package org.plantainloom.coordination.membership;

/**
 * Time that a node waits before it campaigns for the ownership of the workers, so that better
 * placed nodes campaign first.
 *
 * <p>Load pattern: entry VMs differ in size by a factor of seven, and the owner decides for
 * hundreds of workers. An owner on a small VM falls behind at peak load, and keeps the ownership.
 */
public final class CampaignDelay {
  /**
   * Weight of the one-way delay to the store; an owner far from it waits for each of its writes.
   */
  private static final int STORE_DELAY_FACTOR = 10;

  /** Wait of a node with next to no processor; a node with a whole core does not wait. */
  private static final long SMALL_NODE_MS = 250;

  /** Longest jitter, so that like nodes do not all campaign at once. */
  private static final int MAX_JITTER_MS = 120;

  private CampaignDelay() {}

  /**
   * Returns the delay in milliseconds.
   *
   * @param processors processor time of the node per second, in cores
   * @param storeDelayMs one-way delay to the store
   * @param seed any number that differs between nodes and campaigns
   */
  public static long of(double processors, long storeDelayMs, long seed) {
    double missing = Math.max(0, 1 - processors);
    return Math.floorMod(seed, MAX_JITTER_MS)
        + STORE_DELAY_FACTOR * storeDelayMs
        + Math.round(SMALL_NODE_MS * missing);
  }
}
