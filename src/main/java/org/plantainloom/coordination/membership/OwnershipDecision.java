package org.plantainloom.coordination.membership;

import java.util.Optional;
import org.plantainloom.state.MemberId;

/** What a scheduler should do about a rack or role, given who holds it and who is alive. */
public enum OwnershipDecision {
  /** Hold it, or go on without it. */
  KEEP,
  /** Take it: its holder is gone or never was. */
  TAKE,
  /** Give it to the scheduler it is assigned to. */
  HAND_OVER;

  /**
   * Decides about one rack.
   *
   * @param self the deciding scheduler
   * @param holder who holds the rack by its record
   * @param assigned who should hold it by the assignment
   * @param view who is alive
   */
  public static OwnershipDecision decide(
      MemberId self, Optional<MemberId> holder, MemberId assigned, MembershipView view) {
    boolean mine = holder.equals(Optional.of(self));
    if (mine) {
      return !assigned.equals(self) && view.isActive(assigned) ? HAND_OVER : KEEP;
    }
    boolean holderGone = holder.isEmpty() || !view.isAlive(holder.get());
    return assigned.equals(self) && holderGone ? TAKE : KEEP;
  }
}
