package org.plantainloom.coordination.dispatch;

/**
 * A cut between the zone of the store and the other zone.
 *
 * @param fromStoreZone whether messages from the store's zone are stopped
 * @param toStoreZone whether messages to the store's zone are stopped
 */
record ZoneCut(long untilMs, boolean fromStoreZone, boolean toStoreZone, boolean holdsMessages)
    implements LinkCut {
  static final int STORE_ZONE = 1;

  /** Returns whether a message between two zones is stopped. */
  boolean drops(int fromZone, int toZone, long nowMs) {
    return nowMs < untilMs
        && fromZone != toZone
        && (fromZone == STORE_ZONE ? fromStoreZone : toStoreZone);
  }

  @Override
  public boolean stopsCommand(HandoverOwner owner, HandoverWorker worker, long nowMs) {
    return drops(owner.zone(), worker.zone(), nowMs);
  }

  @Override
  public boolean stopsReply(HandoverOwner owner, HandoverWorker worker, long nowMs) {
    return drops(worker.zone(), owner.zone(), nowMs);
  }
}
