package org.plantainloom.coordination.plan;

import java.util.HashMap;
import java.util.Map;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.TaskPhase;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.TeamId;

/** Share of its quota that each team uses, measured by its dominant resource. */
final class QuotaShares {
  private final Map<TeamId, ResourceVector> used = new HashMap<>();
  private final Map<TeamId, ResourceVector> quotas = new HashMap<>();

  QuotaShares(Planner planner) {
    for (TeamState teamState : planner.teamStates()) {
      quotas.put(teamState.team(), teamState.config().quota());
      for (TaskRecord task : teamState.latest().tasks()) {
        if (task.phase() == TaskPhase.BOUND) {
          teamState.launchOf(task.id()).ifPresent(l -> addUsage(teamState.team(), l.size()));
        }
      }
    }
  }

  void addUsage(TeamId team, ResourceVector size) {
    used.merge(team, size, ResourceVector::plus);
  }

  /**
   * Returns the share of the quota in use; above 1 the team uses resources that other teams leave
   * idle.
   */
  double dominantShare(TeamId team) {
    ResourceVector usage = used.getOrDefault(team, ResourceVector.ZERO);
    ResourceVector quota = quotas.getOrDefault(team, ResourceVector.ZERO);
    double cpu = share(usage.cpuMillis(), quota.cpuMillis());
    double memory = share(usage.memoryMb(), quota.memoryMb());
    double accelerators = share(usage.accelerators(), quota.accelerators());
    return Math.max(cpu, Math.max(memory, accelerators));
  }

  private static double share(int part, int whole) {
    return part == 0 ? 0 : (double) part / Math.max(1, whole);
  }
}
