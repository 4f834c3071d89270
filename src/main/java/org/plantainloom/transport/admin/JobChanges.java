package org.plantainloom.transport.admin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.message.ApiError;
import org.plantainloom.state.BatchJobProgress;
import org.plantainloom.state.BatchJobSpec;
import org.plantainloom.state.JobIntent;
import org.plantainloom.state.JobsDocument;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.Keys;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.WriteResult;

/** Creates and cancels batch jobs by compare-and-swap on the team's document of intents. */
public final class JobChanges {
  private static final int MAX_ATTEMPTS = 20;
  private static final int PRUNE_ABOVE = 200;

  private final KeyValueStore store;

  /** Creates changes on the store. */
  public JobChanges(KeyValueStore store) {
    this.store = store;
  }

  /** Creates a job; a repeated request under the same change id is accepted once. */
  public ChangeOutcome create(String changeId, TeamId team, BatchJobSpec spec) {
    return change(
        team,
        document -> {
          Optional<JobIntent> existing = document.job(spec.name());
          if (existing.isPresent()) {
            return existing.get().changeId().equals(changeId)
                ? Step.done()
                : Step.rejected(
                    "already-exists", "expected a new job name but found " + spec.name());
          }
          List<JobIntent> jobs = new ArrayList<>(document.jobs());
          jobs.add(new JobIntent(spec, changeId, false));
          return Step.write(new JobsDocument(team, pruned(team, jobs)));
        });
  }

  /** Cancels a job; cancelling it again changes nothing. */
  public ChangeOutcome cancel(TeamId team, String job) {
    return change(
        team,
        document -> {
          Optional<JobIntent> existing = document.job(job);
          if (existing.isEmpty()) {
            return Step.rejected("not-found", "expected a job but found none named " + job);
          }
          if (existing.get().cancelled()) {
            return Step.done();
          }
          List<JobIntent> jobs =
              document.jobs().stream()
                  .map(j -> j.spec().name().equals(job) ? j.asCancelled() : j)
                  .toList();
          return Step.write(new JobsDocument(team, jobs));
        });
  }

  private record Step(Optional<JobsDocument> next, Optional<ApiError> error) {
    static Step done() {
      return new Step(Optional.empty(), Optional.empty());
    }

    static Step write(JobsDocument next) {
      return new Step(Optional.of(next), Optional.empty());
    }

    static Step rejected(String code, String message) {
      return new Step(Optional.empty(), Optional.of(ApiError.of(code, message)));
    }
  }

  private ChangeOutcome change(TeamId team, Function<JobsDocument, Step> derive) {
    String reason = "no attempt was made";
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      AttemptPause.after(attempt);
      ReadResult read = store.read(Keys.jobs(team)).join();
      if (read instanceof ReadResult.Unavailable unavailable) {
        reason = unavailable.reason();
        continue;
      }
      boolean found = read instanceof ReadResult.Found;
      long revision = found ? ((ReadResult.Found) read).revision() : KeyValueStore.ABSENT;
      JobsDocument current =
          found
              ? Json.read(((ReadResult.Found) read).value(), JobsDocument.class)
              : JobsDocument.empty(team);
      Step step = derive.apply(current);
      if (step.error().isPresent()) {
        return new ChangeOutcome.Rejected(step.error().get());
      }
      if (step.next().isEmpty()) {
        return new ChangeOutcome.Accepted(revision);
      }
      WriteResult result =
          store.compareAndSwap(Keys.jobs(team), revision, Json.write(step.next().get())).join();
      if (result instanceof WriteResult.Written written) {
        return new ChangeOutcome.Accepted(written.revision());
      }
      reason = "the jobs changed or the answer was lost";
    }
    return new ChangeOutcome.Unavailable(reason);
  }

  // Jobs that are complete are dropped once the document has grown long.
  private List<JobIntent> pruned(TeamId team, List<JobIntent> jobs) {
    if (jobs.size() <= PRUNE_ABOVE) {
      return jobs;
    }
    ReadResult read = store.read(Keys.tasks(team)).join();
    if (!(read instanceof ReadResult.Found found)) {
      return jobs;
    }
    Set<String> complete = new HashSet<>();
    for (BatchJobProgress job : Json.read(found.value(), TasksDocument.class).jobs()) {
      if (job.complete()) {
        complete.add(job.job());
      }
    }
    List<JobIntent> kept = new ArrayList<>(jobs);
    kept.removeIf(j -> complete.contains(j.spec().name()));
    return kept;
  }
}
