package org.plantainloom.coordination.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.PhaseSpec;

/**
 * Remembers which kinds of task found no worker within one round of starts.
 *
 * <p>In a burst, a hundred phases may wait while none fits. A phase that needs at least as much as
 * a similar one that has just failed is not tried on every worker again.
 */
final class PlacementFailures {
  private final Map<TaskKind, ResourceVector> unplaceableNeeds = new HashMap<>();

  /** The properties, besides the resource need, that decide where a task may run. */
  private record TaskKind(
      String service, String image, boolean fills, boolean again, String label, String rack) {}

  private static TaskKind kind(PhaseState phase, boolean again, String service) {
    PhaseSpec spec = phase.spec;
    String image = spec.fillsIdleCpu() ? phase.imageKey : "";
    return new TaskKind(
        service, image, spec.fillsIdleCpu(), again, spec.requiredLabel(), spec.preferredRack());
  }

  /** Records that a task of the phase fitted on no worker. */
  void add(PhaseState phase, boolean again, String service) {
    // A limit of tasks per worker concerns this phase only and says nothing about similar ones.
    if (phase.spec.maxPerWorker() == 0) {
      unplaceableNeeds.merge(
          kind(phase, again, service),
          phase.spec.need(),
          (smallest, need) -> need.fitsIn(smallest) ? need : smallest);
    }
  }

  /** Returns whether a similar phase that needs no more than this one has found no worker. */
  boolean covers(PhaseState phase, boolean again, String service) {
    ResourceVector unplaceable = unplaceableNeeds.get(kind(phase, again, service));
    return unplaceable != null && unplaceable.fitsIn(phase.spec.need());
  }
}
