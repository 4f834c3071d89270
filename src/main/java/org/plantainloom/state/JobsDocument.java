package org.plantainloom.state;

import java.util.List;
import java.util.Optional;

/**
 * The jobs that a team has requested; only the administration API writes it.
 *
 * @param team the team
 * @param jobs the intents, oldest first
 */
public record JobsDocument(TeamId team, List<JobIntent> jobs) {
  /** Creates the document with a copy of its list. */
  public JobsDocument {
    jobs = List.copyOf(jobs);
  }

  /** Returns the document of a team that has not requested any job yet. */
  public static JobsDocument empty(TeamId team) {
    return new JobsDocument(team, List.of());
  }

  /** Returns the intent for the job of that name. */
  public Optional<JobIntent> job(String name) {
    return jobs.stream().filter(j -> j.spec().name().equals(name)).findFirst();
  }
}
