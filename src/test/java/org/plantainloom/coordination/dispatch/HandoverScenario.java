package org.plantainloom.coordination.dispatch;

/** What a schedule of changes of the owner holds beside pauses and silent workers. */
enum HandoverScenario {
  SHORT_RUNS(false, false),
  /** Tasks outlast several leases, and new owners cannot reach some worker. */
  LONG_RUNS(true, false),
  /** The same, and a zone is cut off, with the owner or without it, also in one direction only. */
  ZONE_CUTS(true, true);

  private final boolean longRuns;
  private final boolean zoneCuts;

  HandoverScenario(boolean longRuns, boolean zoneCuts) {
    this.longRuns = longRuns;
    this.zoneCuts = zoneCuts;
  }

  boolean hasLongRuns() {
    return longRuns;
  }

  boolean hasZoneCuts() {
    return zoneCuts;
  }
}
