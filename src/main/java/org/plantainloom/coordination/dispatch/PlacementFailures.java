package org.plantainloom.coordination.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.PhaseSpec;

/**
 * What has found no worker within one round of starts.
 *
 * <p>Answers the load of a burst, in which a hundred phases wait and none fits: a phase that asks
 * for at least what a like one has just not found is not tried on each worker again.
 */
final class PlacementFailures {
  private final Map<TaskKind, ResourceVector> unplaceableNeeds = new HashMap<>();

  /** What decides, besides the need, where a task may run. */
  private record TaskKind(String service, String image, boolean fills, String label, String rack) {}

  private static TaskKind kind(PhaseState phase, String service) {
    PhaseSpec spec = phase.spec;
    String image = spec.fillsIdleCpu() ? phase.imageKey : "";
    return new TaskKind(
        service, image, spec.fillsIdleCpu(), spec.requiredLabel(), spec.preferredRack());
  }

  /** Takes note that a task of the phase fitted on no worker. */
  void add(PhaseState phase, String service) {
    // A limit of tasks per worker may be what kept this phase out, and no other.
    if (phase.spec.maxPerWorker() == 0) {
      unplaceableNeeds.merge(
          kind(phase, service),
          phase.spec.need(),
          (before, need) -> need.fitsIn(before) ? need : before);
    }
  }

  /** Returns whether a phase like this one that asked for no more has found no worker. */
  boolean covers(PhaseState phase, String service) {
    ResourceVector known = unplaceableNeeds.get(kind(phase, service));
    return known != null && known.fitsIn(phase.spec.need());
  }
}
