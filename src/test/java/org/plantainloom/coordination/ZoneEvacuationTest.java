package org.plantainloom.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.approvaltests.Approvals;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.support.CoordinationSimulation;
import org.plantainloom.support.Fleets;
import org.plantainloom.support.Teams;
import org.testng.annotations.Test;

/** Event logs of complete runs in which operators take an availability zone out. */
public class ZoneEvacuationTest {

  /** An availability zone is taken out and put back while a service and a batch job run. */
  public static class ZoneOutAndBack {
    @Test
    public void should_resume_elsewhere_and_finish_when_a_zone_is_taken_out() {
      // given
      List<WorkerInfo> fleet = new ArrayList<>(Fleets.zone("lugu", "nantou", 2, 2));
      fleet.addAll(Fleets.zone("yuchi", "nantou", 2, 2));
      fleet.addAll(Fleets.zone("ali", "chiayi", 2, 2));
      CoordinationSimulation session = new CoordinationSimulation(1, fleet, 2);
      session.run(1_000).declare(Teams.withService(Teams.HENGTAI, "leafweigh", 3));
      session.run(2_000).create(Teams.HENGTAI, Teams.job("scores", 6, 8, 10_000)).run(3_000);
      // when
      session.takeZoneOut("lugu").run(8_000).bringZoneBack("lugu").run(20_000);
      // then
      assertThat(session.violations()).isEmpty();
      assertThat(session.ledger().tasksFinished()).isEqualTo(6);
      Approvals.verify(session.log());
    }
  }
}
