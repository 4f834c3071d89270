package org.plantainloom.coordination.routing;

/** Determines how gateways share the slots of a worker without coordinating each request. */
public enum SlotSharingPolicy {
  /** Each gateway counts only its own requests; together, gateways may exceed the slots. */
  LOCAL {
    @Override
    public boolean admits(SlotUse use) {
      return use.ownInFlight() < use.slots();
    }
  },
  /** Each gateway uses at most an equal share of the slots. */
  EQUAL_SHARE {
    @Override
    public boolean admits(SlotUse use) {
      return use.ownInFlight() < equalShare(use);
    }
  },
  /**
   * Each gateway may exceed its equal share while the worker reports free slots.
   *
   * <p>The reported requests are taken to be at least the requests that this gateway itself has in
   * flight.
   */
  BORROWING {
    @Override
    public boolean admits(SlotUse use) {
      return use.ownInFlight() < equalShare(use)
          || Math.max(use.reportedInFlight(), use.ownInFlight()) < use.slots() - 1;
    }
  };

  /** Returns whether one more request may be sent to the worker. */
  public abstract boolean admits(SlotUse use);

  private static int equalShare(SlotUse use) {
    return Math.max(1, use.slots() / Math.max(1, use.gateways()));
  }
}
