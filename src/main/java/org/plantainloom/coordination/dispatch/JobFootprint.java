package org.plantainloom.coordination.dispatch;

import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.PhaseSpec;

/**
 * Estimates how much of its heap an owner needs for a job, in bytes.
 *
 * <p>The estimate covers the job until it ends, however many of its tasks have been started, and
 * its records as a takeover reads them. Short tasks that run at one moment are not part of it: the
 * workers' room bounds them, over all jobs. docs/design/0012 has the sizes as measured.
 */
final class JobFootprint {
  /** An open job without its phases, with its share of the tables. */
  private static final long JOB_BYTES = 1_200;

  /** A phase as submitted, and its JSON. */
  private static final long PHASE_SPEC_BYTES = 700;

  /** The state of a phase of an open occurrence. */
  private static final long PHASE_STATE_BYTES = 350;

  /** The state of a task that has been started, with its run. */
  private static final long TASK_BYTES = 500;

  /** A finished job. */
  static final long FINISHED_JOB_BYTES = 200;

  private JobFootprint() {}

  /** Returns the estimate for an open job. */
  static long ofOpen(JobSpec spec) {
    long openOccurrences = Math.min(spec.occurrences(), JobState.MAX_IDLE_OCCURRENCES);
    long tasks = 0;
    long startedTasks = 0;
    for (PhaseSpec phase : spec.phases()) {
      tasks += phase.count();
      // Tasks that last stay started, and those of a gang are started together.
      startedTasks += phase.lasting() || phase.gang() ? phase.count() : 0;
    }
    long occurrencesWithTasks =
        spec.phases().stream().anyMatch(PhaseSpec::lasting) ? spec.occurrences() : openOccurrences;
    // Bit sets, and their digits in the stored progress.
    long bitBytes = spec.occurrences() / 2 + openOccurrences * tasks * 3 / 4;
    // Kept as text and parsed at the same time during a takeover.
    long payloadBytes = 2L * spec.payload().length();
    return JOB_BYTES
        + payloadBytes
        + spec.phases().size() * (PHASE_SPEC_BYTES + openOccurrences * PHASE_STATE_BYTES)
        + bitBytes
        + occurrencesWithTasks * startedTasks * TASK_BYTES;
  }
}
