package org.plantainloom.protocol.message;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;

/**
 * The processes that are alive.
 *
 * @param members all live processes
 * @param planner who plans
 */
public record MemberList(List<MemberRecord> members, Optional<MemberId> planner) {
  /** Creates the message with copies of its lists. */
  public MemberList {
    members = List.copyOf(members);
  }
}
