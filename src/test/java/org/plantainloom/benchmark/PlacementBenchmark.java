package org.plantainloom.benchmark;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.Main;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.plantainloom.coordination.plan.FleetWorker;
import org.plantainloom.coordination.plan.PlacementFleet;
import org.plantainloom.coordination.plan.PlacementPolicy;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.WorkloadKind;
import org.plantainloom.support.Fleets;

/** Time and allocation of one placement decision over fleets of growing size. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(value = 1, jvmArgs = "-XX:+UseSerialGC")
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class PlacementBenchmark {
  private static final int TASKS_PER_WORKER = 8;

  /** Size of the fleet. */
  @Param({"30", "45", "190", "750"})
  public int workers;

  private final TaskId replica = new TaskId(new TeamId("team"), "service", 0);
  private final TaskLaunch service =
      new TaskLaunch(WorkloadKind.SERVICE, new ResourceVector(2_000, 4_096, 0), 0, 0);
  private final TaskLaunch batch =
      new TaskLaunch(WorkloadKind.BATCH, new ResourceVector(2_000, 4_096, 0), 1_000, 0);
  private PlacementFleet fleet;

  /** Fills a fleet with eight tasks on each worker. */
  @Setup
  public void fill() {
    fleet = new PlacementFleet(PlacementPolicy.RESERVE_ACCELERATORS);
    for (int i = 0; i < workers; i++) {
      WorkerInfo worker = Fleets.worker("zone-" + i / 8 % 7, "region", i / 8, i, i % 3);
      fleet.add(new FleetWorker(worker, true));
      for (int j = 0; j < TASKS_PER_WORKER; j++) {
        fleet.reserve(worker.id(), new TaskId(new TeamId("team"), "service", i), service);
      }
    }
  }

  /** Chooses a worker for a batch task. */
  @Benchmark
  public Optional<FleetWorker> placeBatchTask() {
    return fleet.choose(replica, batch, List.of());
  }

  /** Chooses a worker for a replica. */
  @Benchmark
  public Optional<FleetWorker> placeReplica() {
    return fleet.choose(replica, service, List.of());
  }

  /** Runs the benchmark with the allocation profiler. */
  public static void main(String[] args) throws Exception {
    Main.main(new String[] {PlacementBenchmark.class.getSimpleName(), "-prof", "gc"});
  }
}
