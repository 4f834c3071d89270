package org.plantainloom.coordination.dispatch;

/** What a schedule of changes of the owner holds beside pauses and silent workers. */
enum HandoverScenario {
  SHORT_RUNS {
    @Override
    int longestRunMs() {
      return 2_800;
    }

    @Override
    long endMs() {
      return 60_000;
    }

    @Override
    boolean partsSuccessors() {
      return false;
    }
  },
  /** Tasks outlast several leases, and new owners cannot reach some worker. */
  LONG_RUNS,
  /** The same, and a zone is cut off, with the owner or without it, also in one direction only. */
  ZONE_CUTS {
    @Override
    void schedule(HandoverFaults faults) {
      faults.scheduleZoneCut();
    }
  },
  /**
   * Some owners reach a worker and others do not, several times and beside cuts of a zone; messages
   * wait for the end of a cut; the store is down, refuses writes or carries them out late.
   */
  PARTED_OWNERS {
    @Override
    void schedule(HandoverFaults faults) {
      faults.schedulePartedOwners();
      faults.scheduleStoreFaults();
    }

    @Override
    boolean delaysPolls() {
      return true;
    }
  },
  /**
   * Jobs are submitted around changes of the owner, while a former owner acts and reads the store.
   */
  SUBMISSIONS {
    @Override
    void schedule(HandoverFaults faults) {
      faults.scheduleEarlySuccessors();
    }

    @Override
    boolean partsSuccessors() {
      return false;
    }

    @Override
    boolean submitsAtHandover() {
      return true;
    }
  },
  /**
   * A worker that the stored list calls silent answers again while writes fail, and the next owner
   * does not reach it.
   */
  STALE_LISTS {
    @Override
    void schedule(HandoverFaults faults) {
      faults.scheduleStaleLists();
    }
  },
  /** A worker crashes and is back under its id within seconds, also as another kind. */
  REBORN_WORKERS {
    @Override
    void schedule(HandoverFaults faults) {
      faults.scheduleRestarts();
    }

    @Override
    int longestRunMs() {
      return 2_800;
    }
  },
  /** A worker lists a few of its ends at a time, and outages of the store keep them waiting. */
  CUT_OFF_LISTS {
    @Override
    void schedule(HandoverFaults faults) {
      faults.scheduleStoreFaults();
    }

    @Override
    int longestRunMs() {
      return 2_800;
    }

    @Override
    int listLimit() {
      return 2;
    }
  };

  private static final double[] CLOCK_RATES = {0.98, 1, 1.02};

  /** The rates at which the clocks of processes may run. */
  double[] clockRates() {
    return CLOCK_RATES;
  }

  /** The longest time that a task runs. */
  int longestRunMs() {
    return 15_300;
  }

  /** When all jobs have to be completed; long tasks that are lost begin again. */
  long endMs() {
    return 90_000;
  }

  /** Whether new owners cannot reach some worker that a former one reaches. */
  boolean partsSuccessors() {
    return true;
  }

  /** Whether a poll, too, may be carried out seconds after it was sent. */
  boolean delaysPolls() {
    return false;
  }

  /** Whether each change of the owner comes with new jobs, and former owners read them, too. */
  boolean submitsAtHandover() {
    return false;
  }

  /** How many ended runs a worker lists at a time. */
  int listLimit() {
    return 500;
  }

  /** Adds the faults of this scenario to a schedule. */
  void schedule(HandoverFaults faults) {}
}
