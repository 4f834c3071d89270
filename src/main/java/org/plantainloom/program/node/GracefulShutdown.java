package org.plantainloom.program.node;

import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;

/**
 * The steps of a planned stop, taken in order.
 *
 * <p>A step that fails or is not done in time is logged, and the next one is taken all the same: a
 * node that is too busy to hand over must still finish the requests that it has read.
 *
 * <pre>{@code
 * PlannedStop.of("node-1")
 *     .step("hand over", () -> node.resign().get(600, MILLISECONDS))
 *     .step("finish requests", () -> server.stop().get(3_000, MILLISECONDS))
 *     .run();
 * }</pre>
 */
final class GracefulShutdown {
  private static final Logger LOG = Logger.getLogger(GracefulShutdown.class);

  private final String node;
  private final List<Step> steps = new ArrayList<>();

  private record Step(String name, Action action) {}

  /** What a step does. */
  @FunctionalInterface
  interface Action {
    /**
     * Takes the step, within a time that it limits itself.
     *
     * @throws Exception if the step was not done
     */
    void run() throws Exception;
  }

  private GracefulShutdown(String node) {
    this.node = node;
  }

  /** Returns a stop of a node, without any step. */
  static GracefulShutdown of(String node) {
    return new GracefulShutdown(node);
  }

  /** Adds a step after those that were added before. */
  GracefulShutdown step(String name, Action action) {
    steps.add(new Step(name, action));
    return this;
  }

  /** Takes all steps. */
  void run() {
    for (Step step : steps) {
      try {
        step.action().run();
      } catch (Exception e) {
        LOG.warnf("event=stop-step-failed node=%s step=%s reason=%s", node, step.name(), e);
      }
    }
  }
}
