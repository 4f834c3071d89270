package org.plantainloom.coordination.dispatch;

import java.util.Set;
import java.util.function.IntPredicate;

/**
 * A cut between some owners and some workers; other owners reach these workers.
 *
 * @param terms the owners that are cut off
 * @param workers the workers that they are cut off from
 * @param commands whether commands are stopped
 * @param replies whether replies are stopped
 */
record WorkerCut(
    IntPredicate terms,
    Set<HandoverWorker> workers,
    boolean commands,
    boolean replies,
    long untilMs,
    boolean holdsMessages)
    implements LinkCut {
  private boolean covers(HandoverOwner owner, HandoverWorker worker, long nowMs) {
    return nowMs < untilMs && terms.test(owner.term()) && workers.contains(worker);
  }

  @Override
  public boolean stopsCommand(HandoverOwner owner, HandoverWorker worker, long nowMs) {
    return commands && covers(owner, worker, nowMs);
  }

  @Override
  public boolean stopsReply(HandoverOwner owner, HandoverWorker worker, long nowMs) {
    return replies && covers(owner, worker, nowMs);
  }
}
