package org.plantainloom.coordination.dispatch;

/**
 * A cut between the zone of the store and the other zone, in one direction or in both.
 *
 * @param untilMs when the cut ends
 * @param fromStoreZone whether messages from the store's zone are lost
 * @param toStoreZone whether messages to the store's zone are lost
 */
record ZoneCut(long untilMs, boolean fromStoreZone, boolean toStoreZone) {
  static final int STORE_ZONE = 1;
  static final ZoneCut NONE = new ZoneCut(0, false, false);

  /** Returns whether a message between two zones is lost. */
  boolean drops(int fromZone, int toZone, long nowMs) {
    return nowMs < untilMs
        && fromZone != toZone
        && (fromZone == STORE_ZONE ? fromStoreZone : toStoreZone);
  }
}
