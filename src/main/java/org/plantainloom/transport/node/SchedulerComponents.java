package org.plantainloom.transport.node;

import org.plantainloom.coordination.plan.PlannerPolicy;
import org.plantainloom.coordination.rack.LeasePolicy;
import org.plantainloom.coordination.rack.RackCoordinator;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.TimeSource;
import org.plantainloom.state.VmList;
import org.plantainloom.state.WorkerControl;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;

/**
 * The components of one scheduler process, connected to each other.
 *
 * @param membership keeps this process a member and lists the others
 * @param config watches the configuration index
 * @param vmList polls the list of VMs
 * @param racks manages the racks that this scheduler owns
 * @param planner plans while this scheduler is the planner
 */
public record SchedulerComponents(
    MembershipAgent membership,
    ConfigWatcher config,
    VmListPoller vmList,
    RackDriver racks,
    PlannerDriver planner)
    implements AutoCloseable {
  private static final long HANDOVER_TIMEOUT_MS = 8_000;
  private static final long HANDOVER_POLL_MS = 100;

  /** Starts all components of a scheduler. */
  public static SchedulerComponents start(
      ProcessContext process,
      KeyValueStore store,
      VmList platformVms,
      WorkerControl workers,
      JsonClient client,
      MemberRecord self) {
    ConfigWatcher config = new ConfigWatcher(process, store);
    RackDriver racks =
        new RackDriver(
            process,
            store,
            workers,
            new RackCoordinator(self.id(), LeasePolicy.standard()),
            config);
    PlannerDriver planner =
        new PlannerDriver(process, store, client, self.id(), PlannerPolicy.standard());
    VmListPoller vmList = new VmListPoller(platformVms);
    MembershipAgent membership = new MembershipAgent(process, store, self);
    config.addListener(racks::onConfigIndex);
    config.addListener(planner::onConfigIndex);
    vmList.addListener(racks::onVmList);
    vmList.addListener(planner::onVmList);
    membership.addListener(racks::onMembership);
    membership.addListener(planner::onMembership);
    config.refresh();
    return new SchedulerComponents(membership, config, vmList, racks, planner);
  }

  /**
   * Announces that this scheduler is leaving, and waits until other schedulers, if there are any,
   * have taken over its racks and the planner's role.
   */
  public void handOver(TimeSource time) throws InterruptedException {
    membership.leave();
    long deadlineMs = time.nowMs() + HANDOVER_TIMEOUT_MS;
    while (time.nowMs() < deadlineMs
        && hasSuccessor()
        && (racks.ownedRackCount().join() > 0 || isPlanner())) {
      Thread.sleep(HANDOVER_POLL_MS);
    }
  }

  private boolean hasSuccessor() {
    return membership.membership().view().schedulers().stream()
        .anyMatch(scheduler -> !scheduler.equals(membership.self()));
  }

  private boolean isPlanner() {
    return planner.snapshot().join().isPresent();
  }

  @Override
  public void close() {
    planner.close();
    racks.close();
    vmList.close();
    config.close();
    membership.close();
  }
}
