package org.plantainloom.coordination.membership;

import java.util.Optional;
import org.plantainloom.state.MemberId;

/**
 * What a scheduler should do about the ownership of a rack, given its holder and the live members.
 */
public enum OwnershipDecision {
  /** Leave the ownership unchanged. */
  KEEP,
  /** Take the ownership, because the holder is gone or there is none. */
  TAKE,
  /** Hand the ownership over to the assigned scheduler. */
  HAND_OVER;

  /**
   * Returns the decision for one rack.
   *
   * @param self the deciding scheduler
   * @param holder the owner according to the rack's record
   * @param assigned the owner according to the assignment
   * @param view the processes that are alive
   */
  public static OwnershipDecision decide(
      MemberId self, Optional<MemberId> holder, MemberId assigned, MembershipView view) {
    boolean ownedBySelf = holder.equals(Optional.of(self));
    if (ownedBySelf) {
      return !assigned.equals(self) && view.isActive(assigned) ? HAND_OVER : KEEP;
    }
    boolean holderGone = holder.isEmpty() || !view.isAlive(holder.get());
    return assigned.equals(self) && holderGone ? TAKE : KEEP;
  }
}
