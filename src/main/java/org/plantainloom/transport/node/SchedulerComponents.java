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
 * The duties of one scheduler process, wired to each other.
 *
 * @param membership who is alive
 * @param config which configuration is in force
 * @param vmList which VMs there are
 * @param racks the racks this scheduler owns
 * @param planner the queue, if this scheduler plans
 */
public record SchedulerComponents(
    MembershipAgent membership,
    ConfigWatcher config,
    VmListPoller vmList,
    RackDriver racks,
    PlannerDriver planner)
    implements AutoCloseable {
  private static final long HAND_OVER_TIMEOUT_MS = 8_000;
  private static final long HAND_OVER_POLL_MS = 100;

  /** Starts all duties of a scheduler. */
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
    config.listen(racks::indexSeen);
    config.listen(planner::indexSeen);
    vmList.listen(racks::vmListSeen);
    vmList.listen(planner::vmListSeen);
    membership.listen(racks::membershipSeen);
    membership.listen(planner::membershipSeen);
    config.refresh();
    return new SchedulerComponents(membership, config, vmList, racks, planner);
  }

  /** Hands over all racks and the planner's role, as far as others are there to take them. */
  public void handOver(TimeSource time) throws InterruptedException {
    membership.leave();
    long untilMs = time.nowMs() + HAND_OVER_TIMEOUT_MS;
    while (time.nowMs() < untilMs && hasSuccessor() && (racks.owned().join() > 0 || isPlanner())) {
      Thread.sleep(HAND_OVER_POLL_MS);
    }
  }

  private boolean hasSuccessor() {
    return membership.membership().view().schedulers().stream()
        .anyMatch(s -> !s.equals(membership.self()));
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
