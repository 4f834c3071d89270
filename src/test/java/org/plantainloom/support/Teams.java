package org.plantainloom.support;

import java.util.List;
import org.plantainloom.state.BatchJobSpec;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.ServiceSpec;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;

/** Test data: team configurations and batch job specifications. */
public final class Teams {
  /** Identifier of the team that most tests use. */
  public static final TeamId HENGTAI = new TeamId("hengtai");

  private Teams() {}

  /** Returns a team configuration with one service of the given number of replicas. */
  public static TeamConfig withService(TeamId team, String service, int replicas) {
    ServiceSpec spec =
        new ServiceSpec(service, replicas, new ResourceVector(4_000, 8_192, 0), 50, 200);
    return new TeamConfig(team, new ResourceVector(100_000, 400_000, 0), List.of(spec), List.of());
  }

  /** Returns a batch job of normal priority; each task needs 2 GiB of memory per core. */
  public static BatchJobSpec job(String name, int tasks, int cores, long runMs) {
    return new BatchJobSpec(
        name, tasks, new ResourceVector(cores * 1_000, cores * 2_048, 0), runMs, false, 50);
  }

  /** Returns an urgent batch job; each task needs 2 GiB of memory per core. */
  public static BatchJobSpec urgentJob(String name, int tasks, int cores, long runMs) {
    return new BatchJobSpec(
        name, tasks, new ResourceVector(cores * 1_000, cores * 2_048, 0), runMs, true, 50);
  }
}
