package org.plantainloom.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Explores handovers between owners over delayed, late, held and lost messages, with owners that
 * pause and wake, cuts between some owners and some workers, outages of the store, and clocks that
 * run 2 % slow or fast. Each seed is one schedule.
 *
 * <p>More schedules by hand: {@code mvn -B test -Dtest='HandoverExplorationTest'
 * -Dplantainloom.schedules=20000 -Dplantainloom.seed=5000}
 */
public class HandoverExplorationTest {
  private static final long FIRST_SEED = Long.getLong("plantainloom.seed", 1);
  private static final int SCHEDULES = Integer.getInteger("plantainloom.schedules", 300);

  @DataProvider
  public static Object[][] scenarios() {
    return Arrays.stream(HandoverScenario.values())
        .map(scenario -> new Object[] {scenario})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "scenarios")
  public void should_run_each_task_in_one_place_and_never_after_its_end_is_persisted(
      HandoverScenario scenario) {
    assertThat(brokenSchedules(scenario)).as("broken schedules of " + scenario).isEmpty();
  }

  private static List<String> brokenSchedules(HandoverScenario scenario) {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SCHEDULES)
        .parallel()
        .mapToObj(seed -> new Schedule(seed, new HandoverSimulation(seed, scenario).run()))
        .filter(schedule -> !schedule.violations().isEmpty())
        .map(Schedule::toString)
        .toList();
  }

  private record Schedule(long seed, List<String> violations) {
    @Override
    public String toString() {
      return "seed " + seed + ": " + violations;
    }
  }
}
