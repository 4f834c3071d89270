package org.plantainloom.coordination.config;

import java.util.List;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.TeamId;

/**
 * A team's answers about its services, its batch work and the disturbance each bears.
 *
 * @param team the team
 * @param cores processor quota in cores
 * @param memoryGb memory quota in gigabytes
 * @param accelerators accelerator quota
 * @param services answers about the services
 * @param batchKinds answers about the batch work
 */
public record Questionnaire(
    TeamId team,
    int cores,
    int memoryGb,
    int accelerators,
    List<ServiceAnswers> services,
    List<BatchAnswers> batchKinds) {

  /** Creates the questionnaire with copies of its lists. */
  public Questionnaire {
    services = List.copyOf(services);
    batchKinds = List.copyOf(batchKinds);
  }

  /**
   * Answers about one service.
   *
   * @param name the service's name
   * @param peakRequestsPerSecond requests a second at the busiest time
   * @param requestMs time a replica takes for one request when undisturbed, in milliseconds
   * @param tailMs wanted 99th percentile, in milliseconds
   * @param parallelRequests requests that one replica works on at a time
   * @param size resources of one replica
   * @param survives the largest loss that must leave enough replicas
   */
  public record ServiceAnswers(
      String name,
      int peakRequestsPerSecond,
      int requestMs,
      int tailMs,
      int parallelRequests,
      ResourceVector size,
      FailureDomain survives) {}

  /**
   * Answers about one kind of batch work.
   *
   * @param name the kind's name
   * @param size resources of one task
   * @param runMinutes expected run time of a task, in minutes
   * @param disturbance how much disturbance it bears
   */
  public record BatchAnswers(
      String name, ResourceVector size, double runMinutes, DisturbanceTolerance disturbance) {}
}
