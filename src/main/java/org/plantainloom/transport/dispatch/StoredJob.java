package org.plantainloom.transport.dispatch;

import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.job.JobLimits;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.PhaseSpec;

/** Reads accepted jobs, whose records another writer may have damaged. */
final class StoredJob {
  private StoredJob() {}

  /**
   * Returns the job of that id.
   *
   * @throws MalformedMessageException if the text is not that of an accepted job of that id
   */
  static JobSpec parse(String id, String text) {
    JobSpec spec = Json.read(text, JobSpec.class);
    if (!id.equals(spec.id())) {
      throw damage("the id of another job");
    }
    if (spec.queue() == null || spec.payload() == null) {
      throw damage("no queue or payload");
    }
    if (spec.phases() == null || spec.phases().isEmpty()) {
      throw damage("no phases");
    }
    for (int phase = 0; phase < spec.phases().size(); phase++) {
      if (!isValid(spec.phases().get(phase), phase)) {
        throw damage("a missing or impossible value in phase " + phase);
      }
    }
    if (spec.acceptedMs() < 0 || !JobLimits.areMetBy(spec)) {
      throw damage("impossible times or too many tasks");
    }
    return spec;
  }

  private static boolean isValid(PhaseSpec phase, int index) {
    return phase != null
        && phase.count() >= 1
        && phase.count() <= JobLimits.MAX_TASKS
        && phase.need() != null
        && phase.need().isWithinLimits()
        && JobLimits.isDuration(phase.estimateMs())
        && phase.after() != null
        && phase.after().stream().allMatch(before -> isEarlierPhase(before, index))
        && phase.requiredLabel() != null
        && phase.preferredRack() != null
        && phase.image() != null;
  }

  private static boolean isEarlierPhase(Integer before, int index) {
    return before != null && before >= 0 && before < index;
  }

  private static MalformedMessageException damage(String found) {
    return MalformedMessageException.of(JobSpec.class, found, null);
  }
}
