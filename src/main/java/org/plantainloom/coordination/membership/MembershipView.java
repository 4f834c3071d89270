package org.plantainloom.coordination.membership;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;

/**
 * The processes that were alive at the last read of the store.
 *
 * @param members all live processes
 */
public record MembershipView(List<MemberRecord> members) {
  /** Creates the view with a copy of the list. */
  public MembershipView {
    members = List.copyOf(members);
  }

  /** Returns the schedulers that are alive and not leaving, ordered by id. */
  public List<MemberId> schedulers() {
    return members.stream()
        .filter(m -> m.role() == MemberRole.SCHEDULER && !m.leaving())
        .map(MemberRecord::id)
        .sorted()
        .toList();
  }

  /** Returns the number of gateways that are alive and not leaving. */
  public int gateways() {
    return (int)
        members.stream().filter(m -> m.role() == MemberRole.GATEWAY && !m.leaving()).count();
  }

  /** Returns whether the process is alive, even if it is leaving. */
  public boolean isAlive(MemberId id) {
    return member(id).isPresent();
  }

  /** Returns whether the process is alive and not leaving. */
  public boolean isActive(MemberId id) {
    return member(id).filter(m -> !m.leaving()).isPresent();
  }

  /** Returns the process with the id, if it is alive. */
  public Optional<MemberRecord> member(MemberId id) {
    return members.stream().filter(m -> m.id().equals(id)).findFirst();
  }
}
