package org.plantainloom.coordination.dispatch;

import java.util.List;
import java.util.stream.IntStream;

/** The scheduler's view of one occurrence of a job, while it is open. */
final class OccurrenceState {
  final JobState job;
  final int number;
  final List<PhaseState> phases;

  OccurrenceState(JobState job, int number) {
    this.job = job;
    this.number = number;
    this.phases =
        IntStream.range(0, job.spec.phases().size())
            .mapToObj(index -> new PhaseState(this, index))
            .toList();
  }

  boolean isDone() {
    for (PhaseState phase : phases) {
      if (!phase.isDone()) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether any task has a run, or may have one on a worker that does not answer. */
  boolean mayRun() {
    for (PhaseState phase : phases) {
      if (phase.mayRun()) {
        return true;
      }
    }
    return false;
  }
}
