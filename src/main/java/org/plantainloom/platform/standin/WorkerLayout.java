package org.plantainloom.platform.standin;

/**
 * Number, availability zones and clocks of the simulated workers.
 *
 * @param workers number of workers of 8 processors and 32 GB each
 * @param zones number of zones, over which the workers are spread evenly
 * @param taskMs how long a task runs whose payload does not say it, in milliseconds
 * @param ownClocks whether each worker has a clock of its own, which runs up to 2 % slow or fast
 *     and begins anew when the worker restarts
 */
public record WorkerLayout(int workers, int zones, long taskMs, boolean ownClocks) {
  private static final double[] CLOCK_RATES = {0.98, 1, 1.02};

  /** Returns the name of a zone. */
  public static String zoneName(int zone) {
    return "zone-" + (1 + zone);
  }

  /** Returns the zone of a worker. */
  public int zoneOf(int worker) {
    return worker % zones;
  }

  WorkerClock clock(int worker) {
    return ownClocks
        ? WorkerClock.ofWorker(CLOCK_RATES[(worker + worker / zones) % CLOCK_RATES.length])
        : WorkerClock.ofMachine();
  }
}
