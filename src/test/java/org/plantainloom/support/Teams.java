package org.plantainloom.support;

import java.util.List;
import org.plantainloom.state.BatchJobSpec;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.ServiceSpec;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;

/** Builds teams and jobs for tests. */
public final class Teams {
  /** A team with one service. */
  public static final TeamId HENGTAI = new TeamId("hengtai");

  private Teams() {}

  /** Returns a team with a service of the given number of replicas. */
  public static TeamConfig withService(TeamId team, String service, int replicas) {
    ServiceSpec spec =
        new ServiceSpec(service, replicas, new ResourceVector(4_000, 8_192, 0), 50, 200);
    return new TeamConfig(team, new ResourceVector(100_000, 400_000, 0), List.of(spec), List.of());
  }

  /** Returns a normal batch job. */
  public static BatchJobSpec job(String name, int tasks, int cores, long runMs) {
    return new BatchJobSpec(
        name, tasks, new ResourceVector(cores * 1_000, cores * 2_048, 0), runMs, false, 50);
  }

  /** Returns an urgent batch job. */
  public static BatchJobSpec urgentJob(String name, int tasks, int cores, long runMs) {
    return new BatchJobSpec(
        name, tasks, new ResourceVector(cores * 1_000, cores * 2_048, 0), runMs, true, 50);
  }
}
