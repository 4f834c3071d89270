package org.plantainloom.transport.dispatch;

import java.util.List;
import java.util.Optional;
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

  /** How long the store may hold calls, and when they are repeated. */
  private enum Timing {
    /**
     * A dead connection is detected after the wait plus the client's own timeout margin. Most
     * watches are not urgent, and calls to the store are charged for.
     */
    PLAIN(1_500, 500),

    /**
     * What is known just before a reply is two calls old, and callers are answered by it. The keys
     * are few, so that they are listed where watching them fails repeatedly.
     */
    FREQUENT(600, 500) {
      @Override
      boolean listsAfter(int failedCalls) {
        return failedCalls > 1;
      }
    },

    /**
     * What is known just before a reply is two calls old, which has to be recent enough even while
     * the store is slow.
     */
    HEDGED(250, 250) {
      @Override
      Optional<Long> overdueMs(long callWaitMs) {
        return Optional.of(callWaitMs + SLOW_REPLY_MS);
      }
    };

    /** A slow store takes no longer than this beyond the wait. */
    private static final long SLOW_REPLY_MS = 300;

    private final long waitMs;
    private final long maxRetryMs;

    Timing(long waitMs, long maxRetryMs) {
      this.waitMs = waitMs;
      this.maxRetryMs = maxRetryMs;
    }

    /** Returns whether to list the keys instead of watching them after so many failed calls. */
    boolean listsAfter(int failedCalls) {
      return false;
    }

    /** Returns after which time a call is repeated although it may still be answered. */
    Optional<Long> overdueMs(long callWaitMs) {
      return Optional.empty();
    }
  }

  private static final long FIRST_RETRY_MS = 100;

  private final TransactionalStore store;
  private final EventLoop eventLoop;
  private final String prefix;
  private final Listener listener;
  private final DelayedExecutor delayedExecutor;
  private long batchDelayMs;
  private Timing timing = Timing.PLAIN;
  private long retryMs = FIRST_RETRY_MS;

  /** The revision up to which all changes have been passed on. */
  private long position;

  private long nextCall = 1;

  private long lastAnsweredCall;

  /** The last call that was not a repetition; replies to earlier ones bring no further call. */
  private long lastPoll;

  /** Replies to earlier calls are ignored. */
  private long firstValidCall = 1;

  /** Number of the last list; replies to earlier ones are ignored. */
  private long lastList;

  private boolean disconnected;
  private long disconnectedMs;
  private int failedCalls;
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

  /**
   * Sends further calls while the reply to a call is overdue, and retries sooner, so that one lost
   * reply holds up no change for as long as a timeout. The first reply counts; what a later one
   * tells is known by then.
   */
  PrefixWatch hedged() {
    timing = Timing.HEDGED;
    return this;
  }

  /** Lets the store hold calls for a shorter time, so that what is known is more recent. */
  PrefixWatch frequent() {
    timing = Timing.FREQUENT;
    return this;
  }

  PrefixWatch start() {
    list();
    return this;
  }

  /** Starts watching after a revision at which the caller has read the keys itself. */
  PrefixWatch startAfter(long revision) {
    position = revision;
    repeat();
    return this;
  }

  void close() {
    closed = true;
  }

  /** Lists the keys at once, whatever calls are on their way. */
  void refresh() {
    if (!closed) {
      list();
    }
  }

  private void list() {
    // Replies to calls that were sent before the list may be older than its items.
    firstValidCall = nextCall;
    long list = ++lastList;
    long sentMs = NodeContext.nowMs();
    long sentWallMs = NodeContext.wallMs();
    eventLoop.onResult(
        store.list(prefix),
        result -> {
          if (closed || list != lastList) {
            return;
          }
          if (result instanceof ReadReply.Found found) {
            onReply(found.revision() > position);
            handle(prefix, () -> listener.onSnapshot(found.items()));
            listener.onComplete(sentMs, sentWallMs);
            position = found.revision();
            poll();
          } else if (result instanceof ReadReply.Unavailable unavailable) {
            onFailure(unavailable.reason(), sentMs);
            scheduleRetry(() -> repeatListUnlessRepeated(list));
          }
        });
  }

  private void repeatListUnlessRepeated(long list) {
    if (list == lastList) {
      list();
    }
  }

  private void poll() {
    lastPoll = nextCall;
    watch(timing.waitMs);
  }

  /** Sends a call that is answered at once, to tell soonest what was missed. */
  private void repeat() {
    watch(0);
  }

  private void watch(long waitMs) {
    long call = nextCall++;
    long sentMs = NodeContext.nowMs();
    long sentWallMs = NodeContext.wallMs();
    long afterRevision = position;
    eventLoop.onResult(
        store.watch(prefix, afterRevision, waitMs),
        result -> {
          if (closed || call < firstValidCall) {
            return;
          }
          if (result instanceof WatchReply.Changes changes) {
            onReply(!changes.events().isEmpty());
            lastAnsweredCall = Math.max(lastAnsweredCall, call);
            apply(changes);
            listener.onComplete(sentMs, sentWallMs);
            pollAfterReply(call);
          } else if (result instanceof WatchReply.HistoryLost) {
            LOG.infof("event=watch-history-lost prefix=%s after=%d", prefix, afterRevision);
            list();
          } else if (result instanceof WatchReply.Unavailable unavailable) {
            if (call > lastAnsweredCall) {
              onFailure(unavailable.reason(), sentMs);
              if (timing.listsAfter(failedCalls)) {
                list();
              } else {
                scheduleRetry(() -> repeatIfUnanswered(call));
              }
            }
          }
        });
    timing
        .overdueMs(waitMs)
        .ifPresent(delayMs -> delayedExecutor.schedule(delayMs, () -> repeatIfUnanswered(call)));
  }

  /** Repeats a call that has no reply, unless a later call has been sent. */
  private void repeatIfUnanswered(long call) {
    if (!closed && call >= firstValidCall && call > lastAnsweredCall && call == nextCall - 1) {
      repeat();
    }
  }

  /** Passes on the changes that no earlier reply has told. */
  private void apply(WatchReply.Changes changes) {
    long known = position;
    changes.events().stream()
        .filter(event -> event.revision() > known)
        .forEach(event -> handle(event.key(), () -> listener.onChange(event)));
    position = Math.max(position, changes.nextRevision());
  }

  private void pollAfterReply(long call) {
    if (call < lastPoll) {
      return;
    }
    if (batchDelayMs > 0) {
      long next = nextCall;
      delayedExecutor.schedule(
          batchDelayMs,
          () -> {
            if (!closed && next == nextCall) {
              poll();
            }
          });
    } else {
      poll();
    }
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

  /**
   * Handles a reply.
   *
   * @param changed whether it has told something that was not known
   */
  private void onReply(boolean changed) {
    if (disconnected) {
      LOG.infof(
          "event=watch-regained prefix=%s afterMs=%d failedCalls=%d changed=%s",
          prefix, NodeContext.nowMs() - disconnectedMs, failedCalls, changed);
      disconnected = false;
      failedCalls = 0;
    }
    retryMs = FIRST_RETRY_MS;
  }

  private void onFailure(String reason, long sentMs) {
    failedCalls++;
    if (!disconnected) {
      LOG.warnf(
          "event=watch-lost prefix=%s sentMsAgo=%d reason=%s",
          prefix, NodeContext.nowMs() - sentMs, reason);
      disconnected = true;
      disconnectedMs = NodeContext.nowMs();
    }
  }

  private void scheduleRetry(Runnable action) {
    delayedExecutor.schedule(retryMs, () -> runUnlessClosed(action));
    retryMs = Math.min(retryMs * 2, timing.maxRetryMs);
  }

  private void runUnlessClosed(Runnable action) {
    if (!closed) {
      action.run();
    }
  }
}
