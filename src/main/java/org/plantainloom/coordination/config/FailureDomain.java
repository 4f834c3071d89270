package org.plantainloom.coordination.config;

/** Largest loss after which a service must still carry its peak. */
public enum FailureDomain {
  /** No loss is provided for. */
  NONE {
    @Override
    int replicas(int needed, FleetShape shape) {
      return needed;
    }
  },
  /** The workers of one rack. */
  RACK {
    @Override
    int replicas(int needed, FleetShape shape) {
      return withOneLost(needed, shape.racks());
    }
  },
  /** A whole availability zone. */
  ZONE {
    @Override
    int replicas(int needed, FleetShape shape) {
      return withOneLost(needed, shape.zones());
    }
  };

  /** Returns how many replicas to run so that the needed ones are left after the loss. */
  abstract int replicas(int needed, FleetShape shape);

  private static int withOneLost(int needed, int domains) {
    if (domains < 2) {
      return needed;
    }
    return (needed * domains + domains - 2) / (domains - 1);
  }
}
