package org.plantainloom.state.job;

/** A worker's answer to an order. */
public enum CommandReply {
  OK,
  /** Another scheduler has used a newer fencing token. */
  FENCED,
  /** A run with this number or a later one was stopped or ended there. */
  RUN_SUPERSEDED,
  /** The lease that the order carried was over when it arrived. */
  TOO_LATE,
  NO_ROOM,
  /** The permit was missing or had expired. */
  NO_PERMIT,
  /** The worker is unwell and did nothing. */
  UNHEALTHY,
  MALFORMED,
  /** Another life of the worker answers at that address. */
  OTHER_INCARNATION,
  /** No answer: the order may have been carried out, or may still be. */
  UNKNOWN
}
