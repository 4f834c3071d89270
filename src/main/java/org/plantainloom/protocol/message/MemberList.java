package org.plantainloom.protocol.message;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;

/**
 * The live processes of the system.
 *
 * @param members all live processes
 * @param planner the current planner, if there is one
 */
public record MemberList(List<MemberRecord> members, Optional<MemberId> planner) {
  /** Creates the message with a copy of its list. */
  public MemberList {
    members = List.copyOf(members);
  }
}
