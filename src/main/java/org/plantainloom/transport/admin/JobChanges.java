package org.plantainloom.transport.admin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.jboss.logging.Logger;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
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

/** Creates and cancels batch jobs by compare-and-swap on the team's jobs document. */
public final class JobChanges {
  private static final Logger LOG = Logger.getLogger(JobChanges.class);
  private static final int MAX_ATTEMPTS = 20;
  private static final int PRUNE_THRESHOLD_JOBS = 200;

  private final KeyValueStore store;

  /** Creates an instance that works on the store. */
  public JobChanges(KeyValueStore store) {
    this.store = store;
  }

  /** Creates a job; repeating the request under the same change id has no further effect. */
  public ChangeOutcome create(String changeId, TeamId team, BatchJobSpec spec) {
    return change(
        team,
        document -> {
          Optional<JobIntent> existing = document.job(spec.name());
          if (existing.isPresent()) {
            return existing.get().changeId().equals(changeId)
                ? Decision.noChange()
                : Decision.rejected(
                    "already-exists", "expected a new job name but found " + spec.name());
          }
          List<JobIntent> jobs = new ArrayList<>(document.jobs());
          jobs.add(new JobIntent(spec, changeId, false));
          return Decision.write(new JobsDocument(team, pruned(team, jobs)));
        });
  }

  /** Cancels a job; cancelling it again has no further effect. */
  public ChangeOutcome cancel(TeamId team, String job) {
    return change(
        team,
        document -> {
          Optional<JobIntent> existing = document.job(job);
          if (existing.isEmpty()) {
            return Decision.rejected("not-found", "expected a job but found none named " + job);
          }
          if (existing.get().cancelled()) {
            return Decision.noChange();
          }
          List<JobIntent> jobs =
              document.jobs().stream()
                  .map(intent -> intent.spec().name().equals(job) ? intent.asCancelled() : intent)
                  .toList();
          return Decision.write(new JobsDocument(team, jobs));
        });
  }

  private record Decision(Optional<JobsDocument> next, Optional<ApiError> error) {
    static Decision noChange() {
      return new Decision(Optional.empty(), Optional.empty());
    }

    static Decision write(JobsDocument next) {
      return new Decision(Optional.of(next), Optional.empty());
    }

    static Decision rejected(String code, String message) {
      return new Decision(Optional.empty(), Optional.of(ApiError.of(code, message)));
    }
  }

  private ChangeOutcome change(TeamId team, Function<JobsDocument, Decision> derive) {
    try {
      return changeReadable(team, derive);
    } catch (MalformedMessageException e) {
      // Another attempt would read the same text; writing over it would lose the team's jobs.
      LOG.errorf("jobs of %s: %s", team, e.getMessage());
      return new ChangeOutcome.Unavailable("the stored jobs are unreadable");
    }
  }

  private ChangeOutcome changeReadable(TeamId team, Function<JobsDocument, Decision> derive) {
    String reason = "no attempt was made";
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      RetryBackoff.pauseAfter(attempt);
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
      Decision decision = derive.apply(current);
      if (decision.error().isPresent()) {
        return new ChangeOutcome.Rejected(decision.error().get());
      }
      if (decision.next().isEmpty()) {
        return new ChangeOutcome.Accepted(revision);
      }
      WriteResult result =
          store.compareAndSwap(Keys.jobs(team), revision, Json.write(decision.next().get())).join();
      if (result instanceof WriteResult.Written written) {
        return new ChangeOutcome.Accepted(written.revision());
      }
      reason = "the jobs were changed by others or the reply of the store was lost";
    }
    return new ChangeOutcome.Unavailable(reason);
  }

  // Completed jobs are removed once the document has more jobs than the threshold.
  private List<JobIntent> pruned(TeamId team, List<JobIntent> jobs) {
    if (jobs.size() <= PRUNE_THRESHOLD_JOBS) {
      return jobs;
    }
    ReadResult read = store.read(Keys.tasks(team)).join();
    if (!(read instanceof ReadResult.Found found)) {
      return jobs;
    }
    Set<String> complete = new HashSet<>();
    try {
      for (BatchJobProgress job : Json.read(found.value(), TasksDocument.class).jobs()) {
        if (job.complete()) {
          complete.add(job.job());
        }
      }
    } catch (MalformedMessageException e) {
      LOG.errorf("tasks of %s, no completed job is removed: %s", team, e.getMessage());
      return jobs;
    }
    List<JobIntent> kept = new ArrayList<>(jobs);
    kept.removeIf(intent -> complete.contains(intent.spec().name()));
    return kept;
  }
}
