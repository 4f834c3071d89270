package org.plantainloom.coordination.dispatch;

import org.plantainloom.state.job.RunOutcome;

/**
 * What the owner took the last run of a task for. It is logged when the task starts again, so that
 * the log tells on whose word, and how old, a task ran twice.
 *
 * @param runNumber number of the run; 0 if only a former owner knew it
 * @param workerId the worker that ran it, or may have run it
 * @param outcome how the run is taken to have ended
 * @param evidence why it counts as over
 * @param evidenceMs the time for which the evidence speaks, in milliseconds: when the poll was sent
 *     that told it, when the lease ended, or when the reply to a command was received
 */
record RunConclusion(
    long runNumber, String workerId, RunOutcome outcome, Evidence evidence, long evidenceMs) {

  /** Why a run counts as over. */
  enum Evidence {
    /** The worker listed its end. */
    END_LISTED("end listed"),
    /** The worker listed neither the run nor its end, though it had, or may have, started it. */
    NOT_LISTED("not listed"),
    /** The worker confirmed a stop, and listed the run no longer. */
    STOP_CONFIRMED("stopped"),
    /** The worker does not answer, and the lease of its runs has ended. */
    LEASE_EXPIRED("lease expired"),
    /** The worker said that it has restarted. */
    WORKER_RESTARTED("restarted"),
    /** The worker refused the start, or the start was not sent. */
    START_REFUSED("start refused");

    private final String text;

    Evidence(String text) {
      this.text = text;
    }

    @Override
    public String toString() {
      return text;
    }
  }

  static RunConclusion of(Run run, RunOutcome outcome, Evidence evidence, long evidenceMs) {
    return new RunConclusion(run.number, run.worker.id(), outcome, evidence, evidenceMs);
  }

  /** Returns the part of a log line that tells the conclusion and its age. */
  String logText(long nowMs) {
    return " earlier="
        + runNumber
        + "@"
        + workerId
        + " taken-for="
        + outcome
        + " by="
        + evidence.name()
        + " evidenceAgeMs="
        + (nowMs - evidenceMs);
  }
}
