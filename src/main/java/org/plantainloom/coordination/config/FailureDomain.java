package org.plantainloom.coordination.config;

/** Largest failure domain whose loss a service must survive while it serves its peak load. */
public enum FailureDomain {
  /** No loss has to be survived. */
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
      return replicasToSurviveLossOfOne(needed, shape.racks());
    }
  },
  /** A whole availability zone. */
  ZONE {
    @Override
    int replicas(int needed, FleetShape shape) {
      return replicasToSurviveLossOfOne(needed, shape.zones());
    }
  };

  /** Returns the number of replicas to run so that the needed ones remain after the loss. */
  abstract int replicas(int needed, FleetShape shape);

  private static int replicasToSurviveLossOfOne(int needed, int domains) {
    if (domains < 2) {
      return needed;
    }
    return (needed * domains + domains - 2) / (domains - 1);
  }
}
