package org.plantainloom.coordination.plan;

import org.plantainloom.state.ResourceVector;

/** Scores the workers with room for a task; the worker with the lowest score is chosen. */
public enum PlacementPolicy {
  /** Prefers the worker with the least room left: keeps large gaps, concentrates load. */
  BEST_FIT {
    @Override
    double score(ResourceVector capacity, ResourceVector remaining, ResourceVector size) {
      return freeShare(capacity, remaining);
    }
  },
  /** Prefers the worker with the most room left: spreads load, fragments large gaps. */
  WORST_FIT {
    @Override
    double score(ResourceVector capacity, ResourceVector remaining, ResourceVector size) {
      return -freeShare(capacity, remaining);
    }
  },
  /** Takes the first worker by id; serves as a baseline. */
  FIRST_FIT {
    @Override
    double score(ResourceVector capacity, ResourceVector remaining, ResourceVector size) {
      return 0;
    }
  },
  /**
   * Best fit that also keeps tasks without accelerators away from free accelerators, and the
   * remaining ratio of cpu to memory close to that of the worker's capacity.
   */
  RESERVE_ACCELERATORS {
    @Override
    double score(ResourceVector capacity, ResourceVector remaining, ResourceVector size) {
      double strandedAccelerators =
          size.accelerators() == 0 ? ACCELERATOR_WEIGHT * remaining.accelerators() : 0;
      double cpu = share(remaining.cpuMillis(), capacity.cpuMillis());
      double memory = share(remaining.memoryMb(), capacity.memoryMb());
      return strandedAccelerators + Math.abs(cpu - memory) + freeShare(capacity, remaining);
    }
  };

  private static final double ACCELERATOR_WEIGHT = 10;

  abstract double score(ResourceVector capacity, ResourceVector remaining, ResourceVector size);

  private static double freeShare(ResourceVector capacity, ResourceVector remaining) {
    return share(remaining.cpuMillis(), capacity.cpuMillis())
        + share(remaining.memoryMb(), capacity.memoryMb());
  }

  private static double share(int part, int whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }
}
