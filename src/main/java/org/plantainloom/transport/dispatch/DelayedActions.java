package org.plantainloom.transport.dispatch;

import java.util.PriorityQueue;

/** Actions that an event loop runs once each, after a delay. Confined to that loop. */
final class DelayedActions implements PrefixWatch.DelayedExecutor {
  private final PriorityQueue<DelayedAction> actions =
      new PriorityQueue<>((a, b) -> Long.compare(a.dueMs(), b.dueMs()));

  private record DelayedAction(long dueMs, Runnable action) {}

  @Override
  public void schedule(long delayMs, Runnable action) {
    actions.add(new DelayedAction(NodeContext.nowMs() + delayMs, action));
  }

  /** Runs the actions that are due; to be called at each tick of the loop. */
  void runDue() {
    long nowMs = NodeContext.nowMs();
    while (!actions.isEmpty() && actions.peek().dueMs() <= nowMs) {
      actions.poll().action().run();
    }
  }
}
