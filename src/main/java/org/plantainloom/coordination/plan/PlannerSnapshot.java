package org.plantainloom.coordination.plan;

import java.util.List;
import org.plantainloom.state.ResourceVector;

/**
 * What the planner knows, for status pages.
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
   * @param wanted replicas declared
   * @param running replicas that run
   */
  public record ServiceSummary(String team, String service, int wanted, int running) {}

  /**
   * A job's state.
   *
   * @param team the owning team
   * @param job its name
   * @param tasks tasks in it
   * @param finished tasks that did their work
   * @param running tasks that run
   * @param pending tasks that wait
   * @param setAside tasks that failed too often
   * @param cancelled tasks given up
   * @param complete whether nothing is left to run
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
   * @param capacity what may be committed at most
   * @param committed what is committed
   * @param tasks incarnations committed
   * @param reachable whether it answers
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
   * @param out whether operators took it out
   * @param tasks incarnations committed in it
   */
  public record ZoneSummary(String zone, boolean out, int tasks) {}
}
