package org.plantainloom.coordination.routing;

/** How gateways share the slots of a worker without asking anybody for each request. */
public enum SlotSharingPolicy {
  /** Each gateway counts its own requests only; together they may overshoot. */
  LOCAL {
    @Override
    public boolean admits(SlotUse use) {
      return use.ownInFlight() < use.slots();
    }
  },
  /** Each gateway keeps to an equal part of the slots. */
  EQUAL_SHARE {
    @Override
    public boolean admits(SlotUse use) {
      return use.ownInFlight() < share(use);
    }
  },
  /**
   * Each gateway may exceed its equal part while the worker reports free slots.
   *
   * <p>The reported use is taken as a high-water mark: it never falls below the requests this
   * gateway itself has in flight.
   */
  BORROWING {
    @Override
    public boolean admits(SlotUse use) {
      return use.ownInFlight() < share(use)
          || Math.max(use.reportedInFlight(), use.ownInFlight()) < use.slots() - 1;
    }
  };

  /** Returns whether one more request may be sent to the worker. */
  public abstract boolean admits(SlotUse use);

  private static int share(SlotUse use) {
    return Math.max(1, use.slots() / Math.max(1, use.gateways()));
  }
}
