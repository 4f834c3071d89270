package org.plantainloom.coordination.config;

import org.plantainloom.coordination.config.Questionnaire.BatchAnswers;
import org.plantainloom.coordination.config.Questionnaire.ServiceAnswers;
import org.plantainloom.state.BatchKind;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.ServiceSpec;
import org.plantainloom.state.TeamConfig;

/** Generates a team's configuration from its questionnaire. */
public final class ConfigGenerator {
  // Little's law gives the requests in flight at the peak. Replicas run at half their capacity,
  // because the queueing delay at a higher utilisation exceeds the tail latencies that teams ask
  // for.
  private static final double TARGET_UTILISATION = 0.5;
  private static final int MIN_REPLICAS = 2;
  private static final int MILLIS_PER_CORE = 1000;
  private static final int MB_PER_GB = 1024;
  private static final double MS_PER_MINUTE = 60_000;

  private ConfigGenerator() {}

  /** Returns the configuration that meets the answers on a fleet of the given shape. */
  public static TeamConfig generate(Questionnaire answers, FleetShape shape) {
    ResourceVector quota =
        new ResourceVector(
            answers.cores() * MILLIS_PER_CORE,
            answers.memoryGb() * MB_PER_GB,
            answers.accelerators());
    return new TeamConfig(
        answers.team(),
        quota,
        answers.services().stream().map(s -> service(s, shape)).toList(),
        answers.batchKinds().stream().map(ConfigGenerator::batchKind).toList());
  }

  private static ServiceSpec service(ServiceAnswers answers, FleetShape shape) {
    double inFlight = answers.peakRequestsPerSecond() * answers.requestMs() / 1000.0;
    int needed = (int) Math.ceil(inFlight / (answers.parallelRequests() * TARGET_UTILISATION));
    int survivors = Math.max(MIN_REPLICAS, needed);
    int replicas = answers.survives().replicas(survivors, shape);
    int survivingPercent = 100 * survivors / replicas;
    return new ServiceSpec(
        answers.name(), replicas, answers.size(), survivingPercent, answers.tailMs());
  }

  private static BatchKind batchKind(BatchAnswers answers) {
    return new BatchKind(
        answers.name(),
        answers.size(),
        Math.round(answers.runMinutes() * MS_PER_MINUTE),
        answers.disturbance().maxThrottlePercent());
  }
}
