package org.plantainloom.transport.node;

import java.util.List;
import java.util.Optional;
import org.plantainloom.coordination.membership.MembershipView;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.PlannerRecord;

/**
 * The live processes and the elected planner.
 *
 * @param view the live processes
 * @param planner the record of the elected planner; empty if none was ever elected
 */
public record Membership(MembershipView view, Optional<PlannerRecord> planner) {
  /** Returns the membership before the store has been read for the first time. */
  public static Membership empty() {
    return new Membership(new MembershipView(List.of()), Optional.empty());
  }

  /** Returns the planner's address, if it is alive. */
  public Optional<String> plannerAddress() {
    return planner.flatMap(p -> view.member(p.owner())).map(MemberRecord::address);
  }
}
