package org.plantainloom.coordination.plan;

import java.util.List;
import org.plantainloom.state.ResourceVector;

/**
 * Snapshot of the planner's state for status pages.
 *
 * @param revision revision of the configuration in force
 * @param services all services
 * @param jobs all jobs
 * @param workers all workers
 * @param zones all availability zones
 */
public record PlannerSnapshot(
    long revision,
    List<ServiceSummary> services,
    List<JobSummary> jobs,
    List<WorkerSummary> workers,
    List<ZoneSummary> zones) {

  /**
   * A service's state.
   *
   * @param team the owning team
   * @param service its name
   * @param wanted declared replicas
   * @param running running replicas
   */
  public record ServiceSummary(String team, String service, int wanted, int running) {}

  /**
   * A job's state.
   *
   * @param team the owning team
   * @param job its name
   * @param tasks number of tasks
   * @param finished finished tasks
   * @param running running tasks
   * @param pending tasks that are neither running nor set aside
   * @param setAside tasks no longer placed because they failed on too many workers
   * @param cancelled cancelled tasks
   * @param complete whether no task is left to run
   */
  public record JobSummary(
      String team,
      String job,
      int tasks,
      int finished,
      int running,
      int pending,
      int setAside,
      int cancelled,
      boolean complete) {}

  /**
   * A worker's state.
   *
   * @param worker its name
   * @param zone its availability zone
   * @param rack its rack
   * @param capacity resources that may be committed at most
   * @param committed committed resources
   * @param tasks number of committed incarnations
   * @param reachable whether the worker responds
   */
  public record WorkerSummary(
      String worker,
      String zone,
      String rack,
      ResourceVector capacity,
      ResourceVector committed,
      int tasks,
      boolean reachable) {}

  /**
   * An availability zone's state.
   *
   * @param zone its name
   * @param out whether operators took the zone out
   * @param tasks number of incarnations committed in the zone
   */
  public record ZoneSummary(String zone, boolean out, int tasks) {}
}
