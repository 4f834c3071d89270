package org.plantainloom.program.load;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.HttpReply;
import org.plantainloom.transport.http.JsonClient;

/** Plays the platform's balancer: spreads callers over the gateways that are ready. */
final class ReadyGateways implements AutoCloseable {
  private static final long POLL_MS = 200;
  private static final long TIMEOUT_MS = 500;

  private final List<String> all;
  private final JsonClient client;
  private final Set<String> ready = ConcurrentHashMap.newKeySet();
  private final AtomicInteger next = new AtomicInteger();
  private final EventLoop poller;

  ReadyGateways(List<String> all, JsonClient client) {
    this.all = List.copyOf(all);
    this.client = client;
    poll();
    this.poller = EventLoop.start("balancer", POLL_MS, this::poll);
  }

  private void poll() {
    for (String gateway : all) {
      HttpReply reply = client.get(gateway, "/ready", TIMEOUT_MS).join();
      if (reply.isSuccess()) {
        ready.add(gateway);
      } else {
        ready.remove(gateway);
      }
    }
  }

  Optional<String> pick() {
    List<String> candidates = all.stream().filter(ready::contains).toList();
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(Math.floorMod(next.getAndIncrement(), candidates.size())));
  }

  @Override
  public void close() {
    poller.close();
  }
}
