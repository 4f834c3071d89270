package org.plantainloom.program.operator;

import java.util.Optional;
import org.plantainloom.coordination.plan.PlannerSnapshot;
import org.plantainloom.coordination.plan.PlannerSnapshot.JobSummary;
import org.plantainloom.program.ExitCode;
import org.plantainloom.protocol.Json;

/** Waits for a batch job to complete and prints its progress to standard error. */
final class JobWaiter {
  private static final long POLL_INTERVAL_MS = 500;

  private JobWaiter() {}

  /**
   * Polls the status until the job is complete. Zero seconds means not to wait.
   *
   * @throws RequestFailedException if the job is not complete in time
   */
  static ExitCode awaitCompletion(OperatorSession session, String team, String job, int seconds)
      throws RequestFailedException, InterruptedException {
    long deadlineMs = System.currentTimeMillis() + seconds * 1_000L;
    while (System.currentTimeMillis() < deadlineMs) {
      PlannerSnapshot snapshot = Json.read(session.get("/v1/status").body(), PlannerSnapshot.class);
      Optional<JobSummary> summary =
          snapshot.jobs().stream()
              .filter(j -> j.team().equals(team) && j.job().equals(job))
              .findFirst();
      summary.ifPresent(
          s -> System.err.printf("%s/%s: %d of %d finished%n", team, job, s.finished(), s.tasks()));
      if (summary.filter(JobSummary::complete).isPresent()) {
        return ExitCode.OK;
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
    if (seconds > 0) {
      throw RequestFailedException.timeout("the job is not complete after " + seconds + " s");
    }
    return ExitCode.OK;
  }
}
