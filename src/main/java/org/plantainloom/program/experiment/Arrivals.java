package org.plantainloom.program.experiment;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.plantainloom.state.BatchJobSpec;
import org.plantainloom.state.ResourceVector;

/** Seeded arrivals of batch jobs, in the proportions of the target. */
final class Arrivals {
  private static final double STARTS_PER_WORKER_SECOND = 59.0 / 750;
  private static final int TASKS_PER_JOB = 5;
  private static final int[] CORES = {1, 2, 2, 4, 4, 8};
  private static final int[] MEMORY_GB_PER_CORE = {1, 2, 4, 6};
  private static final int URGENT_PERCENT = 2;
  private static final int ACCELERATED_PERCENT = 15;
  private static final int MEAN_RUN_MS = 103_000;

  private final UniformRandomProvider random;
  private final double jobsPerMs;
  private double due;
  private int created;

  Arrivals(int seed, int workers) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create((long) seed);
    this.jobsPerMs = STARTS_PER_WORKER_SECOND * workers / TASKS_PER_JOB / 1_000;
  }

  /** Returns the jobs that arrive within the time. */
  List<BatchJobSpec> within(long ms) {
    due += jobsPerMs * ms;
    List<BatchJobSpec> jobs = new ArrayList<>();
    for (; due >= 1; due--) {
      jobs.add(next());
    }
    return jobs;
  }

  private BatchJobSpec next() {
    created++;
    int cores = CORES[random.nextInt(CORES.length)];
    int memoryGb = cores * MEMORY_GB_PER_CORE[random.nextInt(MEMORY_GB_PER_CORE.length)];
    boolean accelerated = random.nextInt(100) < ACCELERATED_PERCENT;
    int accelerators = accelerated ? 1 + 3 * random.nextInt(2) : 0;
    boolean urgent = random.nextInt(100) < URGENT_PERCENT;
    long runMs = (long) (MEAN_RUN_MS * -Math.log(1 - random.nextDouble())) + 1_000;
    ResourceVector size = new ResourceVector(cores * 1_000, memoryGb * 1_024, accelerators);
    return new BatchJobSpec("job-" + created, TASKS_PER_JOB, size, runMs, urgent, 50);
  }
}
