package org.plantainloom.state.job;

/** A worker's answer to a look. */
public sealed interface LookReply {
  /** The worker answered. */
  record Seen(WorkerLook look) implements LookReply {}

  /** Another scheduler has used a newer fencing token. */
  record Fenced() implements LookReply {}

  /**
   * The worker did not answer, or not as this life of it.
   *
   * @param reason what happened instead, for the log
   */
  record Missing(String reason) implements LookReply {}
}
