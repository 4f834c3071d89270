package org.plantainloom.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.support.Fleets;
import org.plantainloom.support.Session;
import org.plantainloom.support.Teams;
import org.testng.annotations.Test;

/** Behaviour while the platform's store is down. */
public class StoreOutageTest {
  private static final int OUTAGE_SECONDS = 120;

  /** A long outage in the middle of work. */
  public static class LongOutage {
    @Test
    public void should_keep_running_work_alive_and_start_nothing_new() {
      // given
      Session session = running();
      int starts = session.ledger().taskStarts();
      // when
      session.storeDown(true).run(OUTAGE_SECONDS * 1_000L);
      // then: twelve leases later everything that serves still runs
      assertThat(session.running("leafweigh")).isEqualTo(3);
      assertThat(session.ledger().taskStarts()).isEqualTo(starts);
    }

    @Test
    public void should_outlive_an_hour_in_which_the_regions_are_apart() {
      // given
      Session session = running();
      // when
      session.storeDown(true).run(3_600_000L);
      // then
      assertThat(session.running("leafweigh")).isEqualTo(3);
    }

    @Test
    public void should_finish_everything_once_after_the_store_is_back() {
      // given
      Session session = running();
      // when
      session.storeDown(true).run(OUTAGE_SECONDS * 1_000L).storeDown(false).run(60_000);
      // then
      assertThat(session.finished(Teams.HENGTAI)).isEqualTo(20);
      assertThat(session.doubled()).isEmpty();
      assertThat(session.violations()).isEmpty();
    }

    @Test
    public void should_not_ask_a_store_that_refuses_in_a_tight_loop() {
      // given
      Session session = running();
      // when
      session.storeDown(true).run(OUTAGE_SECONDS * 1_000L);
      // then: at most a read and a write a second for each of 3 racks and the team's document
      assertThat(session.refusedCalls()).isLessThanOrEqualTo(OUTAGE_SECONDS * 2 * 4);
    }

    private static Session running() {
      List<WorkerInfo> fleet = new ArrayList<>(Fleets.zone("lugu", "nantou", 4, 2));
      fleet.addAll(Fleets.zone("ali", "chiayi", 2, 2));
      Session session = new Session(8, fleet, 2);
      session.run(1_000).declare(Teams.withService(Teams.HENGTAI, "leafweigh", 3)).run(2_000);
      return session.create(Teams.HENGTAI, Teams.job("scores", 20, 16, 8_000)).run(4_000);
    }
  }
}
