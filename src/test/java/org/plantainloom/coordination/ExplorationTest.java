package org.plantainloom.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.support.CoordinationSimulation;
import org.plantainloom.support.Fleets;
import org.plantainloom.support.MessageFaults;
import org.plantainloom.support.SimulatedScheduler;
import org.plantainloom.support.Teams;
import org.testng.annotations.Test;

/** Explores random interleavings of messages, faults and operator actions. */
public class ExplorationTest {
  private static final int SCHEDULES = Integer.getInteger("plantainloom.schedules", 300);
  private static final long FIRST_SEED = Long.getLong("plantainloom.seed", 1_000);
  private static final int RANDOM_EVENTS = 12;
  private static final int TASKS = 14;
  private static final long MAX_SETTLE_MS = 240_000;
  private static final long STEP_MS = 5_000;

  /** Invariants that must hold under any interleaving. */
  public static class UnderRandomFaults {
    @Test
    public void should_hold_all_invariants_for_random_interleavings() {
      for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
        // given
        CoordinationSimulation session = startedSession(seed);
        // when
        injectRandomEvents(session);
        runUntilFinished(session.heal());
        // then
        assertThat(session.violations()).as("seed %d%n%s", seed, session.describe()).isEmpty();
        assertThat(session.finishedTasks(Teams.HENGTAI))
            .as("seed %d: finished tasks%n%s", seed, session.describe())
            .isEqualTo(TASKS);
        assertThat(session.tasksFinishedTwice())
            .as("seed %d: finished twice%n%s", seed, session.describe())
            .isEmpty();
      }
    }
  }

  private static CoordinationSimulation startedSession(long seed) {
    List<WorkerInfo> fleet = new ArrayList<>(Fleets.zone("lugu", "nantou", 3, 2));
    fleet.addAll(Fleets.zone("ali", "chiayi", 2, 1));
    CoordinationSimulation session = new CoordinationSimulation(seed, fleet, 3);
    session.run(500).declare(Teams.withService(Teams.HENGTAI, "leafweigh", 3));
    session.create(Teams.HENGTAI, Teams.job("scores", 10, 12, 4_000));
    session.create(Teams.HENGTAI, Teams.urgentJob("audit", 4, 6, 2_000));
    return session.withFaults(new MessageFaults(4, 4, 4, 60));
  }

  private static void runUntilFinished(CoordinationSimulation session) {
    for (long ms = 0;
        ms < MAX_SETTLE_MS && session.finishedTasks(Teams.HENGTAI) < TASKS;
        ms += STEP_MS) {
      session.run(STEP_MS);
    }
    session.run(STEP_MS);
  }

  private static void injectRandomEvents(CoordinationSimulation session) {
    for (int i = 0; i < RANDOM_EVENTS; i++) {
      session.run(200 + session.random().nextInt(2_500));
      injectRandomEvent(session);
    }
  }

  private static void injectRandomEvent(CoordinationSimulation session) {
    UniformRandomProvider random = session.random();
    SimulatedScheduler scheduler =
        session.schedulers().get(random.nextInt(session.schedulers().size()));
    WorkerId worker = session.workerIds().get(random.nextInt(session.workerIds().size()));
    switch (random.nextInt(9)) {
      case 0 -> scheduler.pause(500 + random.nextInt(12_000));
      case 1 -> {
        scheduler.kill();
        session.addScheduler("scheduler-" + (session.schedulers().size() + 1));
      }
      case 2 -> scheduler.setStorePartitioned(true);
      case 3 -> scheduler.partitionFromWorker(worker);
      case 4 -> session.replaceWorker(worker);
      case 5 -> session.takeZoneOut("ali");
      case 6 -> session.bringZoneBack("ali");
      case 7 -> session.setStoreDown(random.nextBoolean());
      default -> scheduler.heal();
    }
  }
}
