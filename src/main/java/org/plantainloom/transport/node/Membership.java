package org.plantainloom.transport.node;

import java.util.List;
import java.util.Optional;
import org.plantainloom.coordination.membership.MembershipView;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.PlannerRecord;

/**
 * Who is alive and who plans.
 *
 * @param view the live processes
 * @param planner the planner's record, if there ever was one
 */
public record Membership(MembershipView view, Optional<PlannerRecord> planner) {
  /** Returns the view of a process that has not read the store yet. */
  public static Membership empty() {
    return new Membership(new MembershipView(List.of()), Optional.empty());
  }

  /** Returns the planner's address, if it is alive. */
  public Optional<String> plannerAddress() {
    return planner.flatMap(p -> view.member(p.owner())).map(MemberRecord::address);
  }
}
