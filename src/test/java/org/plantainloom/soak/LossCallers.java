package org.plantainloom.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Callers that send one request after another, each on a connection that it keeps until the node
 * closes it or is gone.
 */
final class LossCallers implements AutoCloseable {
  private static final Range PAUSE_MS = new Range(40, 360);
  private static final int SHORT_PAUSE_MS = 20;

  private final SoakNetwork network;
  private final LossTraffic traffic;
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean closed;

  private LossCallers(SoakNetwork network, LossTraffic traffic) {
    this.network = network;
    this.traffic = traffic;
  }

  /** Starts a number of callers. */
  static LossCallers start(
      SoakNetwork network,
      LossTraffic traffic,
      int count,
      InvariantChecker checker,
      Random random) {
    LossCallers callers = new LossCallers(network, traffic);
    for (int i = 0; i < count; i++) {
      int home = i % network.nodes().size();
      Random own = new Random(random.nextLong());
      Thread thread = new Thread(() -> callers.run(home, own), "caller-" + i);
      thread.setDaemon(true);
      thread.setUncaughtExceptionHandler(
          (failed, failure) -> checker.report(failed.getName() + " failed: " + failure));
      callers.threads.add(thread);
    }
    callers.threads.forEach(Thread::start);
    return callers;
  }

  private void run(int home, Random random) {
    Optional<HttpChannel> channel = Optional.empty();
    int node = home;
    try {
      while (!closed) {
        if (channel.isEmpty()) {
          channel = connect(node);
          if (channel.isEmpty()) {
            // The first address is tried again, even while its process stops, until it is refused.
            node = random.nextInt(network.nodes().size());
            Thread.sleep(SHORT_PAUSE_MS);
            continue;
          }
        }
        HttpChannel open = channel.get();
        traffic
            .next()
            .ifPresent(
                request ->
                    traffic.ended(
                        request, open.send(request.method(), request.job().id(), request.body())));
        channel = channel.filter(HttpChannel::isOpen);
        Thread.sleep(traffic.isAsking() ? SHORT_PAUSE_MS : PAUSE_MS.draw(random));
      }
    } catch (InterruptedException e) {
      // The callers were closed.
    } finally {
      channel.ifPresent(HttpChannel::close);
    }
  }

  private Optional<HttpChannel> connect(int node) {
    try {
      return Optional.of(HttpChannel.connect(node, network.nodes().get(node).callerAddress));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Waits until the last requests ended. */
  void awaitEnd() throws InterruptedException {
    close();
    for (Thread thread : threads) {
      thread.join(Exchange.DEADLINE_MS);
    }
  }

  @Override
  public void close() {
    closed = true;
    threads.forEach(Thread::interrupt);
  }
}
