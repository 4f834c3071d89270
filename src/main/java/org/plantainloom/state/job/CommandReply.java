package org.plantainloom.state.job;

/** A worker's reply to a command. */
public enum CommandReply {
  /** The worker carried out the command. */
  OK,
  /** The worker has seen a newer fencing token. */
  FENCED,
  /** A run with this or a higher number has already ended or been stopped on the worker. */
  RUN_SUPERSEDED,
  /** The lease in the command had expired when it arrived. */
  TOO_LATE,
  /** The worker does not have enough free capacity. */
  NO_ROOM,
  /** The permit was missing or had expired. */
  NO_PERMIT,
  /** The worker is overloaded or unavailable and did not carry out the command. */
  UNHEALTHY,
  /** The worker rejected the command as invalid. */
  MALFORMED,
  /** Another incarnation of the worker replied from its address. */
  OTHER_INCARNATION,
  /** No reply that tells the outcome: the command may have been carried out, or may still be. */
  UNKNOWN;

  /** Returns whether the worker replied; otherwise it may have started again in the meantime. */
  public boolean isFromWorker() {
    return switch (this) {
      case OK, FENCED, RUN_SUPERSEDED, TOO_LATE, NO_ROOM, NO_PERMIT, MALFORMED -> true;
      case UNHEALTHY, OTHER_INCARNATION, UNKNOWN -> false;
    };
  }
}
