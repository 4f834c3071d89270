package org.plantainloom.transport.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.coordination.plan.RouteTable;
import org.plantainloom.transport.duty.EventLoop;

/**
 * Sends each new route table to the gateways that wait for it; used on the planner's event loop
 * only.
 */
final class RoutePublisher {
  private final EventLoop eventLoop;
  private final List<Waiter> waiters = new ArrayList<>();
  private RouteTable current = RouteTable.empty();

  private record Waiter(CompletableFuture<Optional<RouteTable>> reply) {}

  RoutePublisher(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  void awaitNewer(long epoch, long version, CompletableFuture<Optional<RouteTable>> reply) {
    RouteTable known = new RouteTable(epoch, version, 0, List.of());
    if (current.isNewerThan(known)) {
      reply.complete(Optional.of(current));
      return;
    }
    Waiter waiter = new Waiter(reply);
    waiters.add(waiter);
    eventLoop.onResult(reply, table -> waiters.remove(waiter));
  }

  void publish(RouteTable table) {
    if (table.isNewerThan(current)) {
      current = table;
      replyToAll(Optional.of(table));
    }
  }

  /** Replies without a route table to all waiting gateways, when this scheduler stops planning. */
  void releaseWaiters() {
    replyToAll(Optional.empty());
  }

  private void replyToAll(Optional<RouteTable> table) {
    for (Waiter waiter : List.copyOf(waiters)) {
      waiter.reply().complete(table);
    }
  }
}
