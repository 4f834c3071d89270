package org.plantainloom.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import org.approvaltests.Approvals;
import org.plantainloom.state.TeamId;
import org.plantainloom.support.CoordinationSimulation;
import org.plantainloom.support.Fleets;
import org.plantainloom.support.Teams;
import org.testng.annotations.Test;

/**
 * Event logs of the planner's queues: urgent tasks, unrunnable tasks, failing workers, cancellation
 * and fairness.
 */
public class QueueTest {
  private static final long URGENT_START_MS = 4_800;

  private static CoordinationSimulation startedSession(long seed) {
    CoordinationSimulation session =
        new CoordinationSimulation(seed, Fleets.zone("lugu", "nantou", 4, 2), 2);
    return session.run(500).declare(Teams.withService(Teams.HENGTAI, "leafweigh", 2)).run(1_500);
  }

  /** Urgent tasks on a full fleet. */
  public static class UrgentTasks {
    @Test
    public void should_start_within_the_target_by_evicting_batch_work() {
      // given
      CoordinationSimulation session = startedSession(1);
      session.create(Teams.HENGTAI, Teams.job("scores", 8, 14, 60_000)).run(4_000);
      // when
      session.create(Teams.HENGTAI, Teams.urgentJob("audit", 2, 16, 60_000));
      session.run(URGENT_START_MS);
      // then
      assertThat(session.runningTasks("audit")).as(session.log()).isEqualTo(2);
      Approvals.verify(session.log());
    }
  }

  /** Tasks that cannot run on any worker. */
  public static class UnrunnableTasks {
    @Test
    public void should_report_a_task_that_fits_no_worker_and_place_the_others() {
      // given
      CoordinationSimulation session = startedSession(2);
      // when
      session.create(Teams.HENGTAI, Teams.job("giant", 2, 40, 1_000));
      session.create(Teams.HENGTAI, Teams.job("scores", 4, 8, 2_000)).run(12_000);
      // then
      assertThat(session.finishedTasks(Teams.HENGTAI)).isEqualTo(4);
      Approvals.verify(session.log());
    }

    @Test
    public void should_set_a_task_aside_that_fails_on_every_worker() {
      // given
      CoordinationSimulation session = startedSession(3);
      session.withFailingTasks((worker, task) -> task.task().workload().equals("broken"));
      // when
      session.create(Teams.HENGTAI, Teams.job("broken", 1, 4, 2_000));
      session.create(Teams.HENGTAI, Teams.job("scores", 4, 4, 2_000)).run(20_000);
      // then
      assertThat(session.finishedTasks(Teams.HENGTAI)).isEqualTo(4);
      Approvals.verify(session.log());
    }
  }

  /** Workers on which all tasks fail. */
  public static class FailingWorker {
    @Test
    public void should_set_the_worker_aside_and_finish_the_tasks_elsewhere() {
      // given
      CoordinationSimulation session = startedSession(4);
      session.withFailingTasks((worker, task) -> worker.value().equals("lugu-w3"));
      // when
      session.create(Teams.HENGTAI, Teams.job("scores", 14, 8, 2_000)).run(40_000);
      // then
      assertThat(session.finishedTasks(Teams.HENGTAI)).isEqualTo(14);
      Approvals.verify(session.log());
    }
  }

  /** Cancellation of many jobs at once. */
  public static class JobCancellation {
    @Test
    public void should_release_a_cancelled_wave_with_few_commits_for_each_rack() {
      // given
      CoordinationSimulation session = startedSession(5);
      for (int i = 0; i < 20; i++) {
        session.create(Teams.HENGTAI, Teams.job("job-" + i, 3, 1, 120_000));
      }
      session.run(6_000);
      int before = session.rackWrites();
      // when
      for (int i = 0; i < 20; i++) {
        session.cancel(Teams.HENGTAI, "job-" + i);
      }
      session.run(2_500);
      // then: writes are per rack, for releases and their acknowledgements, not one for each of the
      // 60 tasks on 2 racks
      assertThat(session.commitmentCount("job-")).isZero();
      assertThat(session.rackWrites() - before).isLessThanOrEqualTo(2 * 6);
    }
  }

  /** Teams that compete for a full fleet. */
  public static class Fairness {
    @Test
    public void should_share_a_full_fleet_by_quota_when_one_team_floods_it() {
      // given
      CoordinationSimulation session =
          new CoordinationSimulation(6, Fleets.zone("lugu", "nantou", 4, 2), 2);
      TeamId tsetseg = new TeamId("tsetseg");
      session.run(500).declare(Teams.withService(Teams.HENGTAI, "leafweigh", 1));
      session.declare(Teams.withService(tsetseg, "listing-desk", 1));
      // when
      session.create(Teams.HENGTAI, Teams.job("flood", 200, 4, 600_000));
      session.create(tsetseg, Teams.job("rebuild", 40, 4, 600_000)).run(4_000);
      // then: 120 cores are left for tasks of 4 cores; each team gets half of them
      assertThat(session.runningTasks("flood")).isEqualTo(15);
      assertThat(session.runningTasks("rebuild")).isEqualTo(15);
    }
  }
}
