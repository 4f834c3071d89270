package org.plantainloom.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.support.CoordinationSimulation;
import org.plantainloom.support.Fleets;
import org.plantainloom.support.Teams;
import org.testng.annotations.Test;

/** Behaviour while the platform's store is unavailable. */
public class StoreOutageTest {
  private static final int OUTAGE_SECONDS = 120;

  /** A long outage while a service and a batch job run. */
  public static class LongOutage {
    @Test
    public void should_keep_running_work_alive_and_start_nothing_new() {
      // given
      CoordinationSimulation session = sessionWithRunningWork();
      int starts = session.ledger().taskStarts();
      // when
      session.setStoreDown(true).run(OUTAGE_SECONDS * 1_000L);
      // then: all replicas still run after twelve lease durations
      assertThat(session.runningTasks("leafweigh")).isEqualTo(3);
      assertThat(session.ledger().taskStarts()).isEqualTo(starts);
    }

    @Test
    public void should_keep_running_work_alive_through_an_hour_without_the_store() {
      // given
      CoordinationSimulation session = sessionWithRunningWork();
      // when: the regions, and so the store, may be disconnected for an hour
      session.setStoreDown(true).run(3_600_000L);
      // then
      assertThat(session.runningTasks("leafweigh")).isEqualTo(3);
    }

    @Test
    public void should_finish_each_task_once_after_the_store_recovers() {
      // given
      CoordinationSimulation session = sessionWithRunningWork();
      // when
      session.setStoreDown(true).run(OUTAGE_SECONDS * 1_000L).setStoreDown(false).run(60_000);
      // then
      assertThat(session.finishedTasks(Teams.HENGTAI)).isEqualTo(20);
      assertThat(session.tasksFinishedTwice()).isEmpty();
      assertThat(session.violations()).isEmpty();
    }

    @Test
    public void should_not_poll_an_unavailable_store_in_a_tight_loop() {
      // given
      CoordinationSimulation session = sessionWithRunningWork();
      // when
      session.setStoreDown(true).run(OUTAGE_SECONDS * 1_000L);
      // then: at most one read and one write per second for each of 3 racks and the team's document
      assertThat(session.refusedCalls()).isLessThanOrEqualTo(OUTAGE_SECONDS * 2 * 4);
    }

    private static CoordinationSimulation sessionWithRunningWork() {
      List<WorkerInfo> fleet = new ArrayList<>(Fleets.zone("lugu", "nantou", 4, 2));
      fleet.addAll(Fleets.zone("ali", "chiayi", 2, 2));
      CoordinationSimulation session = new CoordinationSimulation(8, fleet, 2);
      session.run(1_000).declare(Teams.withService(Teams.HENGTAI, "leafweigh", 3)).run(2_000);
      return session.create(Teams.HENGTAI, Teams.job("scores", 20, 16, 8_000)).run(4_000);
    }
  }
}
