package org.plantainloom.program.node;

import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;

/**
 * Runs the steps of a graceful shutdown in order.
 *
 * <p>A step that fails or times out is logged, and the following steps still run: a node that is
 * too busy to hand over its ownership must still finish the requests that it has read.
 *
 * <pre>{@code
 * GracefulShutdown.of("node-1")
 *     .step("resign ownership", () -> node.resign().get(600, MILLISECONDS))
 *     .step("finish requests", () -> server.stop().get(3_000, MILLISECONDS))
 *     .run();
 * }</pre>
 */
final class GracefulShutdown {
  private static final Logger LOG = Logger.getLogger(GracefulShutdown.class);

  private final String nodeName;
  private final List<Step> steps = new ArrayList<>();

  private record Step(String name, Action action) {}

  /** The action of a step. */
  @FunctionalInterface
  interface Action {
    /**
     * Runs the step; the implementation limits its own run time.
     *
     * @throws Exception if the step failed or timed out
     */
    void run() throws Exception;
  }

  private GracefulShutdown(String nodeName) {
    this.nodeName = nodeName;
  }

  /** Creates a shutdown without steps for a node, whose name is logged. */
  static GracefulShutdown of(String nodeName) {
    return new GracefulShutdown(nodeName);
  }

  /** Appends a step. */
  GracefulShutdown step(String name, Action action) {
    steps.add(new Step(name, action));
    return this;
  }

  /** Runs all steps. */
  void run() {
    for (Step step : steps) {
      try {
        step.action().run();
      } catch (Exception e) {
        LOG.warnf("event=stop-step-failed node=%s step=%s reason=%s", nodeName, step.name(), e);
      }
    }
  }
}
