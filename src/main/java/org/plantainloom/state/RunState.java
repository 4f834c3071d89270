package org.plantainloom.state;

import java.util.Optional;

/** What a worker says of an incarnation. */
public enum RunState {
  /** It runs. */
  RUNNING(Optional.empty()),
  /** It is finishing its last requests. */
  DRAINING(Optional.empty()),
  /** It ended with its work done. */
  FINISHED(Optional.of(ReleaseOutcome.FINISHED)),
  /** It ended with an error. */
  FAILED(Optional.of(ReleaseOutcome.FAILED)),
  /** It was stopped, or barred from starting. */
  STOPPED(Optional.of(ReleaseOutcome.EVICTED)),
  /** Its lease ended, so the worker stopped it. */
  LAPSED(Optional.of(ReleaseOutcome.LOST));

  private final Optional<ReleaseOutcome> outcome;

  RunState(Optional<ReleaseOutcome> outcome) {
    this.outcome = outcome;
  }

  /** Returns the outcome to persist once the incarnation can no longer run. */
  public Optional<ReleaseOutcome> outcome() {
    return outcome;
  }
}
