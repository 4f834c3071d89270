package org.plantainloom.coordination.dispatch;

/** A cut between owners and workers, in one direction or in both. */
interface LinkCut {
  /** Returns when the cut ends. */
  long untilMs();

  /** Returns whether messages wait for the end of the cut, as sent ones do on a connection. */
  boolean holdsMessages();

  /** Returns whether commands of an owner do not reach a worker. */
  boolean stopsCommand(HandoverOwner owner, HandoverWorker worker, long nowMs);

  /** Returns whether replies of a worker do not reach an owner. */
  boolean stopsReply(HandoverOwner owner, HandoverWorker worker, long nowMs);
}
