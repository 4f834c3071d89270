package org.plantainloom.transport.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.coordination.plan.RouteTable;
import org.plantainloom.transport.duty.EventLoop;

/** Hands each new route table to the gateways that wait for it; used on the planner's duty only. */
final class RouteFeed {
  private final EventLoop duty;
  private final List<Waiter> waiters = new ArrayList<>();
  private RouteTable current = RouteTable.empty();

  private record Waiter(CompletableFuture<Optional<RouteTable>> answer) {}

  RouteFeed(EventLoop duty) {
    this.duty = duty;
  }

  void await(long epoch, long version, CompletableFuture<Optional<RouteTable>> answer) {
    RouteTable known = new RouteTable(epoch, version, 0, List.of());
    if (current.isNewerThan(known)) {
      answer.complete(Optional.of(current));
      return;
    }
    Waiter waiter = new Waiter(answer);
    waiters.add(waiter);
    duty.onResult(answer, table -> waiters.remove(waiter));
  }

  void offer(RouteTable table) {
    if (table.isNewerThan(current)) {
      current = table;
      answerAll(Optional.of(table));
    }
  }

  void close() {
    answerAll(Optional.empty());
  }

  private void answerAll(Optional<RouteTable> table) {
    for (Waiter waiter : List.copyOf(waiters)) {
      waiter.answer().complete(table);
    }
  }
}
