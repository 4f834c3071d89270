package org.plantainloom.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.support.Faults;
import org.plantainloom.support.Fleets;
import org.plantainloom.support.SchedulerFake;
import org.plantainloom.support.Session;
import org.plantainloom.support.Teams;
import org.testng.annotations.Test;

/** Explores thousands of random interleavings of messages, faults and operators' changes. */
public class ExplorationTest {
  private static final int SCHEDULES = Integer.getInteger("plantainloom.schedules", 300);
  private static final long FIRST_SEED = Long.getLong("plantainloom.seed", 1_000);
  private static final int DISTURBANCES = 12;
  private static final int TASKS = 14;
  private static final long SETTLE_MS = 240_000;
  private static final long STEP_MS = 5_000;

  /** Promises that must hold whatever happens. */
  public static class UnderRandomFaults {
    @Test
    public void should_keep_every_promise_whatever_the_interleaving() {
      for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
        // given
        Session session = started(seed);
        // when
        disturb(session);
        settle(session.heal());
        // then
        assertThat(session.violations()).as("seed %d%n%s", seed, session.describe()).isEmpty();
        assertThat(session.finished(Teams.HENGTAI))
            .as("seed %d: finished tasks%n%s", seed, session.describe())
            .isEqualTo(TASKS);
        assertThat(session.doubled())
            .as("seed %d: finished twice%n%s", seed, session.describe())
            .isEmpty();
      }
    }
  }

  private static Session started(long seed) {
    List<WorkerInfo> fleet = new ArrayList<>(Fleets.zone("lugu", "nantou", 3, 2));
    fleet.addAll(Fleets.zone("ali", "chiayi", 2, 1));
    Session session = new Session(seed, fleet, 3);
    session.run(500).declare(Teams.withService(Teams.HENGTAI, "leafweigh", 3));
    session.create(Teams.HENGTAI, Teams.job("scores", 10, 12, 4_000));
    session.create(Teams.HENGTAI, Teams.urgentJob("audit", 4, 6, 2_000));
    return session.withFaults(new Faults(4, 4, 4, 60));
  }

  private static void settle(Session session) {
    for (long ms = 0; ms < SETTLE_MS && session.finished(Teams.HENGTAI) < TASKS; ms += STEP_MS) {
      session.run(STEP_MS);
    }
    session.run(STEP_MS);
  }

  private static void disturb(Session session) {
    for (int i = 0; i < DISTURBANCES; i++) {
      session.run(200 + session.random().nextInt(2_500));
      disturbOnce(session);
    }
  }

  private static void disturbOnce(Session session) {
    UniformRandomProvider random = session.random();
    SchedulerFake scheduler = session.schedulers().get(random.nextInt(session.schedulers().size()));
    WorkerId worker = session.workerIds().get(random.nextInt(session.workerIds().size()));
    switch (random.nextInt(9)) {
      case 0 -> scheduler.pause(500 + random.nextInt(12_000));
      case 1 -> {
        scheduler.kill();
        session.addScheduler("scheduler-" + (session.schedulers().size() + 1));
      }
      case 2 -> scheduler.cutStore(true);
      case 3 -> scheduler.cutWorker(worker);
      case 4 -> session.replaceWorker(worker);
      case 5 -> session.zoneOut("ali");
      case 6 -> session.zoneBack("ali");
      case 7 -> session.storeDown(random.nextBoolean());
      default -> scheduler.heal();
    }
  }
}
