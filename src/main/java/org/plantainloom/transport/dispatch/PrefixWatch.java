package org.plantainloom.transport.dispatch;

import java.util.List;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.TransactionalStore;
import org.plantainloom.state.store.WatchReply;
import org.plantainloom.transport.duty.EventLoop;

/**
 * Watches all keys with a prefix: lists them once, then long-polls for changes. Lists them again if
 * the store has dropped the history since the last reply.
 */
final class PrefixWatch {
  private static final Logger LOG = Logger.getLogger(PrefixWatch.class);

  /**
   * Longest time that the store may hold a watch call open. A dead connection is detected after
   * this time plus the client's own timeout margin.
   */
  private static final long MAX_WAIT_MS = 1_500;

  private static final long FIRST_RETRY_MS = 100;
  private static final long MAX_RETRY_MS = 1_000;

  private final TransactionalStore store;
  private final EventLoop eventLoop;
  private final String prefix;
  private final Listener listener;
  private final DelayedExecutor delayedExecutor;
  private long batchDelayMs;
  private long retryMs = FIRST_RETRY_MS;
  private boolean disconnected;
  private boolean closed;

  /** Receives the keys and their changes, on the event loop. */
  interface Listener {
    /**
     * Called with all items that have the prefix; other keys with the prefix do not exist. One item
     * that cannot be handled must not keep a listener from handling the others.
     */
    void onSnapshot(List<StoreItem> items);

    /** Called with one change. */
    void onChange(StoreEvent event);

    /**
     * Called when all changes have been passed on that the store acknowledged before a time.
     *
     * @param sentMs when the call was sent whose reply completes them, on the monotonic clock
     * @param sentWallMs the same on the wall clock
     */
    default void onComplete(long sentMs, long sentWallMs) {}
  }

  /** Runs actions on the event loop after a delay. */
  @FunctionalInterface
  interface DelayedExecutor {
    /**
     * Runs an action once after a delay.
     *
     * @param delayMs the delay in milliseconds
     */
    void schedule(long delayMs, Runnable action);
  }

  PrefixWatch(
      TransactionalStore store,
      EventLoop eventLoop,
      DelayedExecutor delayedExecutor,
      String prefix,
      Listener listener) {
    this.store = store;
    this.eventLoop = eventLoop;
    this.delayedExecutor = delayedExecutor;
    this.prefix = prefix;
    this.listener = listener;
  }

  /**
   * Waits after each reply to a watch call before the next call, so that one reply carries more
   * changes.
   *
   * @param newBatchDelayMs the wait in milliseconds
   */
  PrefixWatch batchChanges(long newBatchDelayMs) {
    batchDelayMs = newBatchDelayMs;
    return this;
  }

  PrefixWatch start() {
    list();
    return this;
  }

  /** Starts watching after a revision at which the caller has read the keys itself. */
  PrefixWatch startAfter(long revision) {
    watch(revision);
    return this;
  }

  void close() {
    closed = true;
  }

  private void list() {
    long sentMs = NodeContext.nowMs();
    long sentWallMs = NodeContext.wallMs();
    eventLoop.onResult(
        store.list(prefix),
        result -> {
          if (closed) {
            return;
          }
          if (result instanceof ReadReply.Found found) {
            onReply();
            handle(prefix, () -> listener.onSnapshot(found.items()));
            listener.onComplete(sentMs, sentWallMs);
            watch(found.revision());
          } else if (result instanceof ReadReply.Unavailable unavailable) {
            retry(unavailable.reason(), this::list);
          }
        });
  }

  private void watch(long afterRevision) {
    long sentMs = NodeContext.nowMs();
    long sentWallMs = NodeContext.wallMs();
    eventLoop.onResult(
        store.watch(prefix, afterRevision, MAX_WAIT_MS),
        result -> {
          if (closed) {
            return;
          }
          if (result instanceof WatchReply.Changes changes) {
            onReply();
            changes.events().forEach(event -> handle(event.key(), () -> listener.onChange(event)));
            listener.onComplete(sentMs, sentWallMs);
            if (batchDelayMs > 0) {
              delayedExecutor.schedule(
                  batchDelayMs, () -> runUnlessClosed(() -> watch(changes.nextRevision())));
            } else {
              watch(changes.nextRevision());
            }
          } else if (result instanceof WatchReply.HistoryLost) {
            LOG.infof("event=watch-history-lost prefix=%s after=%d", prefix, afterRevision);
            list();
          } else if (result instanceof WatchReply.Unavailable unavailable) {
            retry(unavailable.reason(), () -> watch(afterRevision));
          }
        });
  }

  /**
   * Passes each item of a snapshot to an action; if the action fails on one of them, the others are
   * passed all the same.
   */
  static void forEach(List<StoreItem> items, Consumer<StoreItem> action) {
    items.forEach(item -> handle(item.key(), () -> action.accept(item)));
  }

  /**
   * Handles an entry; if that fails, the failure is logged and other entries can be handled, as
   * they concern other keys.
   */
  static void handle(String key, Runnable handler) {
    try {
      handler.run();
    } catch (RuntimeException | Error e) {
      LOG.errorf(e, "event=entry-not-applied key=%s", key);
    }
  }

  private void onReply() {
    if (disconnected) {
      LOG.infof("event=watch-regained prefix=%s", prefix);
      disconnected = false;
    }
    retryMs = FIRST_RETRY_MS;
  }

  private void retry(String reason, Runnable action) {
    if (!disconnected) {
      LOG.warnf("event=watch-lost prefix=%s reason=%s", prefix, reason);
      disconnected = true;
    }
    delayedExecutor.schedule(retryMs, () -> runUnlessClosed(action));
    retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
  }

  private void runUnlessClosed(Runnable action) {
    if (!closed) {
      action.run();
    }
  }
}
