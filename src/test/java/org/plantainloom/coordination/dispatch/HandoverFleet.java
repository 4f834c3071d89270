package org.plantainloom.coordination.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The list of workers as stored, with the ends of leases on the clocks of its writer.
 *
 * @param writtenAt when it was written, on the clocks of its writer
 */
record HandoverFleet(List<FleetMember> members, OwnerTime writtenAt) {
  /** Returns the workers as a process knows them that knows the owners' clocks to some extent. */
  List<FleetMember> read(OwnerClocks clocks) {
    return members.stream()
        .map(
            member ->
                new FleetMember(
                    member.entry(),
                    member.possibleTasks(),
                    member.silent(),
                    leaseEnd(member).map(clocks::latestMs).orElse(OptionalLong.empty()),
                    leaseEnd(member)))
        .toList();
  }

  private Optional<OwnerTime> leaseEnd(FleetMember member) {
    return member.leaseEndMs().stream()
        .mapToObj(endMs -> writtenAt.plus(endMs - writtenAt.monotonicMs()))
        .findFirst();
  }
}
