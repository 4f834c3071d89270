package org.plantainloom.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Signals and configurations, which no request may be lost to. */
final class PlannedWork {
  /** Time after SIGTERM after which the platform kills a process. */
  static final long GRACE_MS = 6_000;

  /** Longest time until a configuration applies. */
  static final long CONFIG_APPLY_MS = 2_500;

  private static final long MARGIN_MS = 1_000;

  private final List<Item> items = new ArrayList<>();

  /** A kind of planned work. */
  enum Kind {
    TERMINATION {
      @Override
      boolean covers(Item item, Exchange exchange) {
        return exchange.node() == item.node()
            && exchange.endMs() >= item.startMs()
            && exchange.endMs() <= item.startMs() + GRACE_MS + MARGIN_MS;
      }
    },
    HANGUP {
      @Override
      boolean covers(Item item, Exchange exchange) {
        return exchange.node() == item.node()
            && exchange.endMs() >= item.startMs()
            && exchange.sentMs() <= item.startMs() + CONFIG_APPLY_MS;
      }
    },
    /** Of all nodes. */
    CONFIGURATION {
      @Override
      boolean covers(Item item, Exchange exchange) {
        return exchange.endMs() >= item.startMs()
            && exchange.endMs() <= item.ackMs() + CONFIG_APPLY_MS + MARGIN_MS;
      }
    };

    /** Returns whether the end of an exchange is beside some work of this kind. */
    abstract boolean covers(Item item, Exchange exchange);
  }

  /**
   * A signal to a node, or a configuration.
   *
   * @param node the node that the signal was sent to; -1 for a configuration
   */
  record Item(Kind kind, int node, long startMs, long ackMs) {
    @Override
    public String toString() {
      return kind + (node < 0 ? "" : " of node-" + node) + " at " + Violation.wallMs(startMs);
    }
  }

  void terminated(int node, long atMs) {
    items.add(new Item(Kind.TERMINATION, node, atMs, atMs));
  }

  void hungUp(int node, long atMs) {
    items.add(new Item(Kind.HANGUP, node, atMs, atMs));
  }

  void configured(long sentMs, long ackMs) {
    items.add(new Item(Kind.CONFIGURATION, -1, sentMs, ackMs));
  }

  int size() {
    return items.size();
  }

  /** Returns a signal to the node beside whose handling an exchange ended. */
  Optional<Item> signalBeside(Exchange exchange) {
    return items.stream()
        .filter(item -> item.kind() != Kind.CONFIGURATION && item.kind().covers(item, exchange))
        .findFirst();
  }

  /** Returns a configuration beside which an exchange ended. */
  Optional<Item> configurationBeside(Exchange exchange) {
    return items.stream()
        .filter(item -> item.kind() == Kind.CONFIGURATION && item.kind().covers(item, exchange))
        .findFirst();
  }
}
