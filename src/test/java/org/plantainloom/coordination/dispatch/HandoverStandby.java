package org.plantainloom.coordination.dispatch;

import java.util.Optional;

/** A process that may become the owner, and reads the confirmations of others until then. */
final class HandoverStandby {
  private static final long SAMPLE_INTERVAL_MS = 400;

  private final HandoverSimulation simulation;
  private final int zone;
  private final double clockRate;
  private final OwnerClocks clocks = new OwnerClocks();
  private final boolean sampling;
  private long lastSampleMs;

  HandoverStandby(HandoverSimulation simulation, int zone) {
    this.simulation = simulation;
    this.zone = zone;
    this.clockRate = simulation.drawClockRate();
    this.sampling = simulation.drawInt(6) > 0;
  }

  int zone() {
    return zone;
  }

  double clockRate() {
    return clockRate;
  }

  OwnerClocks clocks() {
    return clocks;
  }

  /** Returns the last confirmation that was carried out, if there is one. */
  Optional<LastConfirmation> lastConfirmation() {
    return simulation
        .store()
        .lastConfirmation()
        .map(last -> new LastConfirmation(last.time(), Optional.of(last.workerClocks()), clocks));
  }

  void tick() {
    boolean due = simulation.nowMs() - lastSampleMs >= SAMPLE_INTERVAL_MS;
    if (sampling && due && simulation.reachesStore(zone)) {
      lastSampleMs = simulation.nowMs();
      simulation
          .store()
          .staleConfirmation()
          .ifPresent(
              time -> simulation.after(simulation.drawInt(200), () -> clocks.sampled(time, now())));
    }
  }

  private long now() {
    return simulation.localTime(clockRate);
  }
}
