package org.plantainloom.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.plantainloom.coordination.membership.MembershipView;
import org.plantainloom.coordination.membership.OwnershipDecision;
import org.plantainloom.coordination.membership.RackAssignment;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.state.RackId;
import org.plantainloom.state.ZoneName;
import org.testng.annotations.Test;

/** Tests of who looks after what. */
public class MembershipTest {
  private static final int RACKS = 90;

  /** Sharing out racks. */
  public static class Assignment {
    @Test
    public void should_balance_racks_to_within_one_share() {
      // given
      List<RackId> racks = racks();
      // when
      Map<RackId, MemberId> assignment = RackAssignment.assign(racks, members(8));
      // then
      for (MemberId member : members(8)) {
        assertThat(assignment.values().stream().filter(member::equals).count())
            .isLessThanOrEqualTo(12);
      }
    }

    @Test
    public void should_move_few_racks_when_a_scheduler_is_replaced() {
      // given
      List<MemberId> before = members(8);
      List<MemberId> after = new ArrayList<>(before.subList(1, 8));
      after.add(new MemberId("scheduler-new"));
      // when
      Map<RackId, MemberId> old = RackAssignment.assign(racks(), before);
      Map<RackId, MemberId> now = RackAssignment.assign(racks(), after);
      long moved = old.keySet().stream().filter(r -> !old.get(r).equals(now.get(r))).count();
      // then: the racks of the one that went, and as many to make room for the one that came
      assertThat(moved).isLessThanOrEqualTo(2L * RACKS / 8 + 8);
    }
  }

  /** Taking over and handing over. */
  public static class Takeover {
    private static final MemberId SELF = new MemberId("a");
    private static final MemberId OTHER = new MemberId("b");

    @Test
    public void should_take_a_rack_whose_holder_is_gone() {
      assertThat(OwnershipDecision.decide(SELF, Optional.of(OTHER), SELF, view(SELF)))
          .isEqualTo(OwnershipDecision.TAKE);
    }

    @Test
    public void should_leave_a_rack_to_a_holder_that_is_alive() {
      assertThat(OwnershipDecision.decide(SELF, Optional.of(OTHER), SELF, view(SELF, OTHER)))
          .isEqualTo(OwnershipDecision.KEEP);
    }

    @Test
    public void should_hand_a_rack_over_to_the_scheduler_it_is_assigned_to() {
      assertThat(OwnershipDecision.decide(SELF, Optional.of(SELF), OTHER, view(SELF, OTHER)))
          .isEqualTo(OwnershipDecision.HAND_OVER);
    }

    @Test
    public void should_keep_a_rack_when_the_assigned_scheduler_is_not_there() {
      assertThat(OwnershipDecision.decide(SELF, Optional.of(SELF), OTHER, view(SELF)))
          .isEqualTo(OwnershipDecision.KEEP);
    }
  }

  private static MembershipView view(MemberId... ids) {
    List<MemberRecord> members = new ArrayList<>();
    for (MemberId id : ids) {
      members.add(
          new MemberRecord(id, MemberRole.SCHEDULER, "host:1", new ZoneName("lugu"), false));
    }
    return new MembershipView(members);
  }

  private static List<RackId> racks() {
    return IntStream.range(0, RACKS).mapToObj(i -> new RackId("rack-" + i)).toList();
  }

  private static List<MemberId> members(int count) {
    return IntStream.range(0, count).mapToObj(i -> new MemberId("scheduler-" + i)).toList();
  }
}
