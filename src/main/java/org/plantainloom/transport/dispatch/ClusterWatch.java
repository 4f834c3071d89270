package org.plantainloom.transport.dispatch;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.transport.duty.EventLoop;

/**
 * Watches what operators write, and tells whether it is recent enough to answer callers by it.
 *
 * <p>The watch has an event loop of its own, so that a change is not applied late while the node's
 * loop decides, restores jobs or reads long lists.
 */
final class ClusterWatch implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ClusterWatch.class);

  /**
   * Age up to which what is known counts as current. A change has to be in force 2.5 s after its
   * acknowledgement; without a failure, what is known is at most two polls old.
   */
  static final long MAX_AGE_MS = 2_000;

  /** How long callers wait while the store is asked; a slow one answers within 300 ms. */
  static final long ASK_TIMEOUT_MS = 500;

  /** Resolution of retries, well below the shortest of them. */
  private static final long TICK_MS = 50;

  private final ClusterView view;
  private final EventLoop eventLoop;
  private final DelayedActions delayedActions = new DelayedActions();
  private final PrefixWatch watch;
  private final Counter askedCounter;
  private final Counter unconfirmedCounter;
  private final List<Question> questions = new ArrayList<>();

  /** Whether the store is being asked out of turn, until it answers. */
  private boolean asking;

  private long askedMs;

  /** A caller that waits until the configuration is confirmed. */
  private record Question(long untilMs, CompletableFuture<Optional<ClusterConfig>> answer) {}

  ClusterWatch(NodeContext node) {
    this.view = new ClusterView(node.codec(), this::onConfirmed);
    this.askedCounter = node.metrics().counter("config.asked");
    this.unconfirmedCounter = node.metrics().counter("config.unconfirmed");
    this.eventLoop = EventLoop.start("cluster", TICK_MS, this::tick);
    this.watch =
        new PrefixWatch(
                node.store(), eventLoop, delayedActions, node.codec().operatorPrefix(), view)
            .frequent();
    registerGauges(node.metrics());
    eventLoop.execute(watch::start);
  }

  private void registerGauges(MetricRegistry metrics) {
    metrics.gauge("config.version", () -> () -> view.config().version());
    metrics.gauge("config.age-ms", () -> view::ageMs);
    metrics.gauge("loop.cluster.busy-ms", () -> eventLoop::busyMs);
    metrics.gauge("loop.cluster.longest-task-ms", () -> eventLoop::longestTaskMs);
  }

  ClusterView view() {
    return view;
  }

  private boolean isCurrent() {
    return view.ageMs() <= MAX_AGE_MS;
  }

  /**
   * Returns the configuration as it is in force, for which the store is asked if what is known is
   * too old. Empty if the store does not answer soon.
   */
  CompletableFuture<Optional<ClusterConfig>> currentConfig() {
    if (isCurrent()) {
      return CompletableFuture.completedFuture(Optional.of(view.config()));
    }
    CompletableFuture<Optional<ClusterConfig>> answer = new CompletableFuture<>();
    eventLoop.execute(() -> ask(answer));
    return answer;
  }

  /** Returns whether what is known is recent enough to act by it; has the store asked if not. */
  boolean confirmIfOutdated() {
    boolean current = isCurrent();
    if (!current) {
      eventLoop.execute(this::askStore);
    }
    return current;
  }

  private void ask(CompletableFuture<Optional<ClusterConfig>> answer) {
    if (isCurrent()) {
      answer.complete(Optional.of(view.config()));
      return;
    }
    askStore();
    long nowMs = NodeContext.nowMs();
    if (nowMs - askedMs > ASK_TIMEOUT_MS) {
      // The store is asked again and again; nobody has to wait for that.
      giveUp(answer);
    } else {
      questions.add(new Question(nowMs + ASK_TIMEOUT_MS, answer));
    }
  }

  /** Asks the store, unless it is being asked or has just answered. */
  private void askStore() {
    if (!asking && !isCurrent()) {
      asking = true;
      askedMs = NodeContext.nowMs();
      askedCounter.inc();
      LOG.infof("event=config-asked knownMsAgo=%d", view.ageMs());
      watch.refresh();
    }
  }

  private void onConfirmed() {
    asking = false;
    if (isCurrent()) {
      questions.forEach(question -> question.answer().complete(Optional.of(view.config())));
      questions.clear();
    }
  }

  private void tick() {
    delayedActions.runDue();
    long nowMs = NodeContext.nowMs();
    questions.removeIf(
        question -> {
          boolean over = nowMs >= question.untilMs();
          if (over) {
            giveUp(question.answer());
          }
          return over;
        });
  }

  private void giveUp(CompletableFuture<Optional<ClusterConfig>> answer) {
    unconfirmedCounter.inc();
    answer.complete(Optional.empty());
  }

  @Override
  public void close() {
    eventLoop.execute(watch::close);
    eventLoop.close();
  }
}
