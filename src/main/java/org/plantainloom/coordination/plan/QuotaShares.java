package org.plantainloom.coordination.plan;

import java.util.HashMap;
import java.util.Map;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.TaskPhase;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.TeamId;

/** Share of its quota that each team uses, by its scarcest resource. */
final class QuotaShares {
  private final Map<TeamId, ResourceVector> used = new HashMap<>();
  private final Map<TeamId, ResourceVector> quotas = new HashMap<>();

  QuotaShares(Planner planner) {
    for (TeamQueue queue : planner.queues()) {
      quotas.put(queue.team(), queue.config().quota());
      for (TaskRecord task : queue.latest().tasks()) {
        if (task.phase() == TaskPhase.BOUND) {
          queue.launchOf(task.id()).ifPresent(l -> addUsage(queue.team(), l.size()));
        }
      }
    }
  }

  void addUsage(TeamId team, ResourceVector size) {
    used.merge(team, size, ResourceVector::plus);
  }

  /** Returns the used share of the quota; above 1 the team lives on what others leave. */
  double dominantShare(TeamId team) {
    ResourceVector in = used.getOrDefault(team, ResourceVector.ZERO);
    ResourceVector quota = quotas.getOrDefault(team, ResourceVector.ZERO);
    double cpu = share(in.cpuMillis(), quota.cpuMillis());
    double memory = share(in.memoryMb(), quota.memoryMb());
    double accelerators = share(in.accelerators(), quota.accelerators());
    return Math.max(cpu, Math.max(memory, accelerators));
  }

  private static double share(int part, int whole) {
    return part == 0 ? 0 : (double) part / Math.max(1, whole);
  }
}
