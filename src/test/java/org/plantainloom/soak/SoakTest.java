package org.plantainloom.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.testng.annotations.Test;

/**
 * Runs the soak test for the regression seeds and, on request, for further ones.
 *
 * <p>Example with 50 further seeds:
 *
 * <pre>{@code
 * mvn -B test -Dtest='SoakTest*' -Dplantainloom.soak.first=1000 -Dplantainloom.soak.seeds=50
 * }</pre>
 */
public class SoakTest {
  /** Seeds that every CI run plays: those that failed before, each with the cause. */
  private static final List<Long> REGRESSION_SEEDS =
      List.of(
          // Jobs whose tasks were taken over from a previous owner stayed in the state "queued".
          103L,
          // Jobs with running tasks had the state "queued", and the test run itself took the port
          // of a stopped node.
          104L);

  /** Number of parallel runs; each has three nodes of about 100 MB. */
  private static final int PARALLEL_RUNS = Integer.getInteger("plantainloom.soak.at-once", 2);

  private static final long FAULTS_MS = Long.getLong("plantainloom.soak.faults-ms", 15_000);

  @Test
  public void should_keep_all_invariants_under_random_faults() throws Exception {
    // given
    List<Long> seeds = new ArrayList<>(REGRESSION_SEEDS);
    long first = Long.getLong("plantainloom.soak.first", 0);
    for (int i = 0; i < Integer.getInteger("plantainloom.soak.seeds", 0); i++) {
      seeds.add(first + i);
    }
    // when
    Map<Long, List<String>> violationsBySeed = new TreeMap<>();
    ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_RUNS);
    try {
      Map<Long, Future<List<String>>> results = new TreeMap<>();
      seeds.forEach(seed -> results.put(seed, executor.submit(() -> runSeed(seed))));
      for (Map.Entry<Long, Future<List<String>>> result : results.entrySet()) {
        List<String> violations = result.getValue().get();
        if (!violations.isEmpty()) {
          violationsBySeed.put(result.getKey(), violations);
        }
      }
    } finally {
      executor.shutdown();
    }
    // then
    assertThat(violationsBySeed).as("seeds " + Arrays.toString(seeds.toArray())).isEmpty();
  }

  private static List<String> runSeed(long seed) throws Exception {
    try (SoakRun run = SoakRun.start(seed)) {
      List<String> violations = run.execute(FAULTS_MS);
      System.out.println("soak seed=" + seed + " starts=" + run.starts() + " broken=" + violations);
      return violations;
    }
  }
}
