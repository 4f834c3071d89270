package org.plantainloom.coordination.routing;

/**
 * Outcome of one attempt to send a request.
 *
 * @param <A> type of a complete answer
 */
public sealed interface AttemptOutcome<A> {
  /**
   * The complete answer of the upstream was received.
   *
   * @param answer the answer
   */
  record Answered<A>(A answer) implements AttemptOutcome<A> {}

  /**
   * The request is known not to have run.
   *
   * @param reason why it did not run
   */
  record NotRun<A>(NotRunReason reason) implements AttemptOutcome<A> {}

  /**
   * It is not known whether the request ran.
   *
   * @param reason description of the failure
   */
  record Unknown<A>(String reason) implements AttemptOutcome<A> {}
}
