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

  /** Returns the sum of both amounts; a component that exceeds the range stays at its end. */
  public ResourceVector plus(ResourceVector other) {
    return new ResourceVector(
        saturated((long) cpuMillis + other.cpuMillis),
        saturated((long) memoryMb + other.memoryMb),
        saturated((long) accelerators + other.accelerators));
  }

  /**
   * Returns this amount minus the other; components may become negative, and one that exceeds the
   * range stays at its end.
   */
  public ResourceVector minus(ResourceVector other) {
    return new ResourceVector(
        saturated((long) cpuMillis - other.cpuMillis),
        saturated((long) memoryMb - other.memoryMb),
        saturated((long) accelerators - other.accelerators));
  }

  private static int saturated(long amount) {
    return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, amount));
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
