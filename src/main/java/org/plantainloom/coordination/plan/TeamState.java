package org.plantainloom.coordination.plan;

import java.util.Optional;
import org.plantainloom.state.JobIntent;
import org.plantainloom.state.JobsDocument;
import org.plantainloom.state.Priority;
import org.plantainloom.state.ServiceSpec;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.WorkloadKind;
import org.plantainloom.state.WriteResult;

/** The planner's copy of one team's documents, and its write of the tasks document in flight. */
final class TeamState {
  private final TeamId team;
  private TeamConfig config;
  private JobsDocument jobs;
  private TasksDocument persisted;
  private Optional<TasksDocument> inFlight = Optional.empty();
  private long revision;
  private long jobsRevision = -1;
  private boolean needsRead = true;
  private boolean configLoaded;
  private final long epoch;

  TeamState(TeamId team, long epoch) {
    this.team = team;
    this.epoch = epoch;
    this.config = TeamConfig.empty(team);
    this.jobs = JobsDocument.empty(team);
    this.persisted = TasksDocument.empty(team);
  }

  TeamId team() {
    return team;
  }

  TeamConfig config() {
    return config;
  }

  JobsDocument jobs() {
    return jobs;
  }

  TasksDocument persisted() {
    return persisted;
  }

  /** Returns the document that will be in force if the write in flight succeeds. */
  TasksDocument latest() {
    return inFlight.orElse(persisted);
  }

  /** Returns whether the next document may be derived. */
  boolean isReady() {
    return !needsRead && inFlight.isEmpty() && configLoaded && jobsRevision >= 0;
  }

  /**
   * Returns whether plans may be derived from the persisted document.
   *
   * <p>That is the case once it carries this planner's epoch: from then on no former planner can
   * write it.
   */
  boolean isLoaded() {
    return !needsRead && configLoaded && jobsRevision >= 0 && persisted.plannerEpoch() == epoch;
  }

  boolean needsRead() {
    return needsRead && inFlight.isEmpty();
  }

  void updateConfig(TeamConfig newConfig) {
    config = newConfig;
    configLoaded = true;
  }

  void updateJobs(JobsDocument newJobs, long newRevision) {
    if (newRevision >= jobsRevision) {
      jobs = newJobs;
      jobsRevision = newRevision;
    }
  }

  void updateTasks(TasksDocument document, long newRevision) {
    if (newRevision >= revision) {
      persisted = document;
      revision = newRevision;
      needsRead = false;
    }
  }

  TasksWrite startWrite(TasksDocument next) {
    inFlight = Optional.of(next);
    return new TasksWrite(team, revision, next);
  }

  void handleWriteResult(TasksWrite write, WriteResult result) {
    inFlight = Optional.empty();
    if (result instanceof WriteResult.Written written) {
      persisted = write.next();
      revision = written.revision();
    } else {
      needsRead = true;
    }
  }

  /** Returns how a task is launched; empty if no service or job declares it any longer. */
  Optional<TaskLaunch> launchOf(TaskId task) {
    Optional<ServiceSpec> service = config.service(task.workload());
    if (service.isPresent()) {
      return service
          .filter(s -> task.index() < s.replicas())
          .map(s -> new TaskLaunch(WorkloadKind.SERVICE, s.size(), 0, 0));
    }
    return jobs.job(task.workload())
        .filter(j -> !j.cancelled())
        .map(JobIntent::spec)
        .map(s -> new TaskLaunch(WorkloadKind.BATCH, s.size(), s.runMs(), s.maxThrottlePercent()));
  }

  Priority priorityOf(TaskId task) {
    if (config.service(task.workload()).isPresent()) {
      return Priority.SERVICE;
    }
    return jobs.job(task.workload()).map(j -> j.spec().priority()).orElse(Priority.NORMAL);
  }
}
