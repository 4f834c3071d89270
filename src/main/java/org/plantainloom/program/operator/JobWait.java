package org.plantainloom.program.operator;

import java.util.Optional;
import org.plantainloom.coordination.plan.PlannerSnapshot;
import org.plantainloom.coordination.plan.PlannerSnapshot.JobSummary;
import org.plantainloom.program.ExitCode;
import org.plantainloom.protocol.Json;

/** Waits for a job and shows its progress. */
final class JobWait {
  private static final long POLL_MS = 500;

  private JobWait() {}

  static ExitCode run(OperatorSession session, String team, String job, int seconds)
      throws RequestFailedException, InterruptedException {
    long untilMs = System.currentTimeMillis() + seconds * 1_000L;
    while (System.currentTimeMillis() < untilMs) {
      PlannerSnapshot snapshot = Json.read(session.get("/v1/status").body(), PlannerSnapshot.class);
      Optional<JobSummary> line =
          snapshot.jobs().stream()
              .filter(j -> j.team().equals(team) && j.job().equals(job))
              .findFirst();
      line.ifPresent(
          l -> System.err.printf("%s/%s: %d of %d finished%n", team, job, l.finished(), l.tasks()));
      if (line.filter(JobSummary::complete).isPresent()) {
        return ExitCode.OK;
      }
      Thread.sleep(POLL_MS);
    }
    if (seconds > 0) {
      throw RequestFailedException.timeout("the job is not complete after " + seconds + " s");
    }
    return ExitCode.OK;
  }
}
