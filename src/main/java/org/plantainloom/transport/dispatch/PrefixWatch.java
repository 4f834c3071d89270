package org.plantainloom.transport.dispatch;

import java.util.List;
import org.jboss.logging.Logger;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.TransactionalStore;
import org.plantainloom.state.store.WatchReply;
import org.plantainloom.transport.duty.EventLoop;

/**
 * Follows all keys below a prefix: reads them once, then waits for changes; reads them anew when
 * the store has lost the history in between.
 */
final class PrefixWatch {
  private static final Logger LOG = Logger.getLogger(PrefixWatch.class);

  /** A silent connection is found after this and the client's own allowance. */
  private static final long WAIT_MS = 1_500;

  private static final long FIRST_RETRY_MS = 100;
  private static final long LONGEST_RETRY_MS = 1_000;

  private final TransactionalStore store;
  private final EventLoop duty;
  private final String prefix;
  private final Listener listener;
  private final Delays delays;
  private long gatherMs;
  private long retryMs = FIRST_RETRY_MS;
  private boolean lost;
  private boolean closed;

  /** Receives the contents and the changes, on the duty's thread. */
  interface Listener {
    /** Takes all items below the prefix; what is not among them does not exist. */
    void read(List<StoreItem> items);

    /** Takes one change. */
    void changed(StoreEvent event);
  }

  /** Runs something on the duty's thread after a while. */
  @FunctionalInterface
  interface Delays {
    /**
     * Runs an action later.
     *
     * @param delayMs the delay in milliseconds
     */
    void after(long delayMs, Runnable action);
  }

  PrefixWatch(
      TransactionalStore store, EventLoop duty, Delays delays, String prefix, Listener listener) {
    this.store = store;
    this.duty = duty;
    this.delays = delays;
    this.prefix = prefix;
    this.listener = listener;
  }

  /** Lets changes gather for a while before each call but the first. */
  PrefixWatch gather(long newGatherMs) {
    gatherMs = newGatherMs;
    return this;
  }

  PrefixWatch start() {
    list();
    return this;
  }

  /** Starts from a read that was made before. */
  PrefixWatch startAfter(long revision) {
    watch(revision);
    return this;
  }

  void close() {
    closed = true;
  }

  private void list() {
    duty.onResult(
        store.list(prefix),
        result -> {
          if (closed) {
            return;
          }
          if (result instanceof ReadReply.Found found) {
            regained();
            listener.read(found.items());
            watch(found.revision());
          } else if (result instanceof ReadReply.Unavailable unavailable) {
            retry(unavailable.reason(), this::list);
          }
        });
  }

  private void watch(long after) {
    duty.onResult(
        store.watch(prefix, after, WAIT_MS),
        result -> {
          if (closed) {
            return;
          }
          if (result instanceof WatchReply.Changes changes) {
            regained();
            changes.events().forEach(listener::changed);
            if (gatherMs > 0) {
              delays.after(gatherMs, () -> runUnlessClosed(() -> watch(changes.nextRevision())));
            } else {
              watch(changes.nextRevision());
            }
          } else if (result instanceof WatchReply.HistoryLost) {
            LOG.infof("event=watch-history-lost prefix=%s after=%d", prefix, after);
            list();
          } else if (result instanceof WatchReply.Unavailable unavailable) {
            retry(unavailable.reason(), () -> watch(after));
          }
        });
  }

  private void regained() {
    if (lost) {
      LOG.infof("event=watch-regained prefix=%s", prefix);
      lost = false;
    }
    retryMs = FIRST_RETRY_MS;
  }

  private void retry(String reason, Runnable action) {
    if (!lost) {
      LOG.warnf("event=watch-lost prefix=%s reason=%s", prefix, reason);
      lost = true;
    }
    delays.after(retryMs, () -> runUnlessClosed(action));
    retryMs = Math.min(retryMs * 2, LONGEST_RETRY_MS);
  }

  private void runUnlessClosed(Runnable action) {
    if (!closed) {
      action.run();
    }
  }
}
