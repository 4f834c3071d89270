package org.plantainloom.coordination.routing;

/**
 * How one attempt at a request ended.
 *
 * @param <A> type of a whole answer
 */
public sealed interface AttemptOutcome<A> {
  /**
   * The upstream answered, and the whole answer to this request arrived.
   *
   * @param answer the answer
   */
  record Answered<A>(A answer) implements AttemptOutcome<A> {}

  /**
   * The request provably did not run.
   *
   * @param reason why
   */
  record NotRun<A>(NotRunReason reason) implements AttemptOutcome<A> {}

  /**
   * The request may or may not have run.
   *
   * @param reason what happened
   */
  record Unknown<A>(String reason) implements AttemptOutcome<A> {}
}
