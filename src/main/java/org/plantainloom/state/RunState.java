package org.plantainloom.state;

import java.util.Optional;

/** State of an incarnation as reported by its worker. */
public enum RunState {
  /** It is running. */
  RUNNING(Optional.empty()),
  /** It is finishing the requests in flight. */
  DRAINING(Optional.empty()),
  /** It finished its work. */
  FINISHED(Optional.of(ReleaseOutcome.FINISHED)),
  /** It ended with an error. */
  FAILED(Optional.of(ReleaseOutcome.FAILED)),
  /** It was stopped, or its stop arrived before its start and the start is refused. */
  STOPPED(Optional.of(ReleaseOutcome.EVICTED)),
  /** Its lease expired, so the worker stopped it. */
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
