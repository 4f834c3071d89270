package org.plantainloom.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.platform.standin.SimulatedQueue;

/**
 * Callers that ask each node for the counts of queues that were just added, were just dropped or
 * never existed, and submit jobs, each on a connection that it keeps until it ends.
 */
final class QueueCallers implements AutoCloseable {
  private static final Range PAUSE_MS = new Range(15, 60);
  private static final int RECONNECT_PAUSE_MS = 30;

  /** Number of the newest versions whose queues are asked for. */
  private static final int NEW_VERSIONS = 4;

  /** One in so many requests is a submission, if there are any. */
  private static final int SUBMIT_EVERY = 8;

  private static final int TASK_MS = 200;

  private final SoakNetwork network;
  private final ConfigOperator operator;
  private final InvariantChecker checker;
  private final boolean submitting;
  private final List<QueueExchange> exchanges = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, ConfigRule.Submission> submissions = new ConcurrentHashMap<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean closed;

  private QueueCallers(
      SoakNetwork network, ConfigOperator operator, InvariantChecker checker, boolean submitting) {
    this.network = network;
    this.operator = operator;
    this.checker = checker;
    this.submitting = submitting;
  }

  /**
   * Starts one caller for each node.
   *
   * @param submitting whether the callers submit jobs, too
   */
  static QueueCallers start(
      SoakNetwork network,
      ConfigOperator operator,
      InvariantChecker checker,
      boolean submitting,
      Random random) {
    QueueCallers callers = new QueueCallers(network, operator, checker, submitting);
    for (int i = 0; i < network.nodes().size(); i++) {
      int node = i;
      Random own = new Random(random.nextLong());
      Thread thread = new Thread(() -> callers.run(node, own), "queue-caller-" + i);
      thread.setDaemon(true);
      thread.setUncaughtExceptionHandler(
          (failed, failure) -> checker.report(failed.getName() + " failed: " + failure));
      callers.threads.add(thread);
    }
    callers.threads.forEach(Thread::start);
    return callers;
  }

  private void run(int node, Random random) {
    Optional<HttpChannel> channel = Optional.empty();
    int life = 0;
    try {
      while (!closed) {
        if (channel.isEmpty()) {
          // Read before connecting: a process that starts in between is a later life.
          life = network.nodes().get(node).life();
          channel = connect(node);
          if (channel.isEmpty()) {
            Thread.sleep(RECONNECT_PAUSE_MS);
            continue;
          }
        }
        QueueExchange exchange = request(channel.get(), life, random);
        exchanges.add(exchange);
        channel = channel.filter(HttpChannel::isOpen);
        Thread.sleep(PAUSE_MS.draw(random));
      }
    } catch (InterruptedException e) {
      // The callers were closed.
    } finally {
      channel.ifPresent(HttpChannel::close);
    }
  }

  private QueueExchange request(HttpChannel channel, int life, Random random) {
    String queue = drawQueue(random);
    boolean submits = submitting && random.nextInt(SUBMIT_EVERY) == 0;
    if (!submits) {
      return new QueueExchange(queue, life, channel.send(pathPrefix(queue), "GET", "", ""));
    }
    SoakJob job =
        new SoakJob(
            String.format(Locale.ROOT, "%016x", random.nextLong()), 1, 1, 400, false, TASK_MS);
    checker.register(job);
    submissions.put(job.id(), new ConfigRule.Submission(queue, SoakRun.nowMs()));
    return new QueueExchange(
        queue, life, channel.send(pathPrefix(queue), "POST", job.id(), job.body()));
  }

  private static String pathPrefix(String queue) {
    return queue.equals(SimulatedPlatform.QUEUE_NAME)
        ? SimulatedPlatform.JOB_PATH_PREFIX
        : SimulatedQueue.of(queue, "").pathPrefix();
  }

  private String drawQueue(Random random) {
    if (random.nextInt(12) == 0) {
      return "never";
    }
    List<ConfigVersion> versions = operator.versions();
    List<String> queues = new ArrayList<>();
    versions.stream()
        .skip(Math.max(0, versions.size() - NEW_VERSIONS))
        .flatMap(version -> version.services().keySet().stream())
        .distinct()
        .sorted()
        .forEach(queues::add);
    return queues.get(random.nextInt(queues.size()));
  }

  private Optional<HttpChannel> connect(int node) {
    try {
      return Optional.of(HttpChannel.connect(node, network.nodes().get(node).callerAddress));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  List<QueueExchange> exchanges() {
    synchronized (exchanges) {
      return List.copyOf(exchanges);
    }
  }

  /** Returns the queue of each job, by its id. */
  Map<String, ConfigRule.Submission> submissions() {
    return new HashMap<>(submissions);
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
