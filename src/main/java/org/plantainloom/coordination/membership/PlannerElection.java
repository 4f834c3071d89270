package org.plantainloom.coordination.membership;

import java.util.Optional;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.PlannerRecord;

/** Decides whether a scheduler has to change the planner's owner. */
public final class PlannerElection {
  private static final String ROLE = "planner";

  private PlannerElection() {}

  /**
   * Returns the record that has to replace the current one; empty if the current one stays.
   *
   * @param self the deciding scheduler
   * @param leaving whether that scheduler is stopping
   * @param view the processes that are alive
   * @param current the planner record in the store
   */
  public static Optional<PlannerRecord> next(
      MemberId self, boolean leaving, MembershipView view, Optional<PlannerRecord> current) {
    Optional<MemberId> preferred = RackAssignment.preferred(ROLE, view.schedulers());
    boolean ownerAlive = current.filter(p -> view.isAlive(p.owner())).isPresent();
    boolean ownedBySelf = current.filter(p -> p.owner().equals(self)).isPresent();
    boolean take = !ownerAlive && preferred.equals(Optional.of(self));
    boolean handOver = ownedBySelf && leaving && preferred.isPresent();
    long epoch = current.map(PlannerRecord::epoch).orElse(0L) + 1;
    return take || handOver
        ? Optional.of(new PlannerRecord(preferred.get(), epoch))
        : Optional.empty();
  }
}
