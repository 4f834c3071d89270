package org.plantainloom.coordination.plan;

import org.plantainloom.state.ResourceVector;

/** How a worker is chosen among those with room; lower scores win. */
public enum PlacementPolicy {
  /** The worker with the least room left: keeps large gaps, concentrates load. */
  BEST_FIT {
    @Override
    double score(ResourceVector capacity, ResourceVector left, ResourceVector size) {
      return freeShare(capacity, left);
    }
  },
  /** The worker with the most room left: spreads load, fragments large gaps. */
  WORST_FIT {
    @Override
    double score(ResourceVector capacity, ResourceVector left, ResourceVector size) {
      return -freeShare(capacity, left);
    }
  },
  /** The first worker by name: the baseline. */
  FIRST_FIT {
    @Override
    double score(ResourceVector capacity, ResourceVector left, ResourceVector size) {
      return 0;
    }
  },
  /**
   * Best fit, but tasks without accelerators keep away from free accelerators, and the shape of
   * what is left stays close to that of the worker.
   */
  RESERVE_ACCELERATORS {
    @Override
    double score(ResourceVector capacity, ResourceVector left, ResourceVector size) {
      double stranding = size.accelerators() == 0 ? ACCELERATOR_WEIGHT * left.accelerators() : 0;
      double cpu = share(left.cpuMillis(), capacity.cpuMillis());
      double memory = share(left.memoryMb(), capacity.memoryMb());
      return stranding + Math.abs(cpu - memory) + freeShare(capacity, left);
    }
  };

  private static final double ACCELERATOR_WEIGHT = 10;

  abstract double score(ResourceVector capacity, ResourceVector left, ResourceVector size);

  private static double freeShare(ResourceVector capacity, ResourceVector left) {
    return share(left.cpuMillis(), capacity.cpuMillis())
        + share(left.memoryMb(), capacity.memoryMb());
  }

  private static double share(int part, int whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }
}
