package org.plantainloom.coordination.membership;

import java.util.Optional;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.PlannerRecord;

/** Decides whether a scheduler has to change who plans. */
public final class PlannerElection {
  private static final String ROLE = "planner";

  private PlannerElection() {}

  /**
   * Returns the record to write in place of the current one, or empty if it may stay.
   *
   * @param self the deciding scheduler
   * @param leaving whether it is stopping
   * @param view who is alive
   * @param current who plans by the store
   */
  public static Optional<PlannerRecord> next(
      MemberId self, boolean leaving, MembershipView view, Optional<PlannerRecord> current) {
    Optional<MemberId> preferred = RackAssignment.preferred(ROLE, view.schedulers());
    boolean held = current.filter(p -> view.isAlive(p.owner())).isPresent();
    boolean mine = current.filter(p -> p.owner().equals(self)).isPresent();
    boolean take = !held && preferred.equals(Optional.of(self));
    boolean handOver = mine && leaving && preferred.isPresent();
    long epoch = current.map(PlannerRecord::epoch).orElse(0L) + 1;
    return take || handOver
        ? Optional.of(new PlannerRecord(preferred.get(), epoch))
        : Optional.empty();
  }
}
