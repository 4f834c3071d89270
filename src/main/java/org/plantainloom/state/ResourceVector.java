package org.plantainloom.state;

/**
 * Amount of CPU, memory and accelerators.
 *
 * @param cpuMillis CPU in thousandths of a core
 * @param memoryMb memory in megabytes
 * @param accelerators number of accelerators
 */
public record ResourceVector(int cpuMillis, int memoryMb, int accelerators) {
  /** Largest amount of a worker or task, so that the sums over a worker's runs do not overflow. */
  public static final int MAX_AMOUNT = 100_000_000;

  /** No resources. */
  public static final ResourceVector ZERO = new ResourceVector(0, 0, 0);

  /** Returns the sum of both amounts. */
  public ResourceVector plus(ResourceVector other) {
    return new ResourceVector(
        cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
  }

  /** Returns this amount minus the other; components may become negative. */
  public ResourceVector minus(ResourceVector other) {
    return new ResourceVector(
        cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
  }

  /** Returns whether every component is at most that of the capacity. */
  public boolean fitsIn(ResourceVector capacity) {
    return cpuMillis <= capacity.cpuMillis
        && memoryMb <= capacity.memoryMb
        && accelerators <= capacity.accelerators;
  }

  /** Returns whether a worker may have, or a task may need, this amount. */
  public boolean isWithinLimits() {
    return isNonNegative() && fitsIn(new ResourceVector(MAX_AMOUNT, MAX_AMOUNT, MAX_AMOUNT));
  }

  /** Returns whether no component is negative. */
  public boolean isNonNegative() {
    return cpuMillis >= 0 && memoryMb >= 0 && accelerators >= 0;
  }
}
