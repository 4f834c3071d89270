package org.plantainloom.program.load;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.HttpReply;
import org.plantainloom.transport.http.JsonClient;

/** Stands in for the platform's load balancer: picks the gateways that are ready in turn. */
final class ReadyGateways implements AutoCloseable {
  private static final long POLL_INTERVAL_MS = 200;
  private static final long TIMEOUT_MS = 500;

  private final List<String> gateways;
  private final JsonClient client;
  private final Set<String> readyGateways = ConcurrentHashMap.newKeySet();
  private final AtomicInteger nextIndex = new AtomicInteger();
  private final EventLoop poller;

  ReadyGateways(List<String> gateways, JsonClient client) {
    this.gateways = List.copyOf(gateways);
    this.client = client;
    poll();
    this.poller = EventLoop.start("balancer", POLL_INTERVAL_MS, this::poll);
  }

  private void poll() {
    for (String gateway : gateways) {
      HttpReply reply = client.get(gateway, "/ready", TIMEOUT_MS).join();
      if (reply.isSuccess()) {
        readyGateways.add(gateway);
      } else {
        readyGateways.remove(gateway);
      }
    }
  }

  Optional<String> pick() {
    List<String> candidates = gateways.stream().filter(readyGateways::contains).toList();
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(
            candidates.get(Math.floorMod(nextIndex.getAndIncrement(), candidates.size())));
  }

  @Override
  public void close() {
    poller.close();
  }
}
