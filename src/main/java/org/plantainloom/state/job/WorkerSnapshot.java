package org.plantainloom.state.job;

import java.util.List;

/**
 * State of a worker as it reports it.
 *
 * @param clockMs the worker's monotonic clock in milliseconds
 * @param startedAtMs when its current incarnation started, in milliseconds since the epoch; 0 if
 *     not reported
 * @param running the runs in progress
 * @param ended the ended runs that were not acknowledged yet, or the first of them
 * @param listsAllEnds whether no further ended run waits to be acknowledged; only then does the
 *     absence of a run from both lists tell anything
 */
public record WorkerSnapshot(
    long clockMs,
    long startedAtMs,
    List<ActiveRun> running,
    List<EndedRun> ended,
    boolean listsAllEnds) {

  /** Creates a snapshot that lists all ended runs. */
  public WorkerSnapshot(
      long clockMs, long startedAtMs, List<ActiveRun> running, List<EndedRun> ended) {
    this(clockMs, startedAtMs, running, ended, true);
  }
}
