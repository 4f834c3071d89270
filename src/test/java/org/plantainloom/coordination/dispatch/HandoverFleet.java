package org.plantainloom.coordination.dispatch;

import java.util.List;
import java.util.OptionalLong;

/**
 * The list of workers as stored, with the ends of leases on the clocks of its writer.
 *
 * @param writtenAt when it was written, on the clocks of its writer
 */
record HandoverFleet(List<FleetMember> members, OwnerTime writtenAt) {
  List<FleetMember> read(OwnerClocks clocks) {
    return members.stream()
        .map(
            member ->
                new FleetMember(
                    member.entry(),
                    member.possibleTasks(),
                    member.silent(),
                    leaseEndMs(member, clocks)))
        .toList();
  }

  private OptionalLong leaseEndMs(FleetMember member, OwnerClocks clocks) {
    return member.leaseEndMs().isPresent()
        ? clocks.latestMs(writtenAt.plus(member.leaseEndMs().getAsLong() - writtenAt.monotonicMs()))
        : OptionalLong.empty();
  }
}
