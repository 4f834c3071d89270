package org.plantainloom.transport.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.state.job.ClusterCodec;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;

/** Passes the registrations of workers to the dispatcher. */
final class WorkerListener implements PrefixWatch.Listener {
  private static final Logger LOG = Logger.getLogger(WorkerListener.class);

  private static final int MAX_LOGGED_CHARS = 80;

  private final ClusterCodec codec;
  private final Dispatcher dispatcher;
  private final Runnable changeListener;
  private final Set<String> registered = new HashSet<>();
  private final Set<String> unreadableKeys = new HashSet<>();

  WorkerListener(ClusterCodec codec, Dispatcher dispatcher, Runnable changeListener) {
    this.codec = codec;
    this.dispatcher = dispatcher;
    this.changeListener = changeListener;
  }

  @Override
  public void onSnapshot(List<StoreItem> items) {
    Set<String> missing = new HashSet<>(registered);
    for (StoreItem item : items) {
      PrefixWatch.handle(
          item.key(),
          () -> {
            missing.remove(codec.workerId(item.key()));
            register(item.key(), item.value());
          });
    }
    missing.forEach(this::unregister);
    unreadableKeys.retainAll(items.stream().map(StoreItem::key).toList());
    changeListener.run();
  }

  @Override
  public void onChange(StoreEvent event) {
    if (event.value().isPresent()) {
      register(event.key(), event.value().get());
    } else {
      unreadableKeys.remove(event.key());
      unregister(codec.workerId(event.key()));
    }
    changeListener.run();
  }

  private void register(String key, String value) {
    Optional<WorkerRegistration> worker = read(key, value);
    if (worker.isPresent()) {
      registered.add(worker.get().id());
      dispatcher.workerRegistered(worker.get(), NodeContext.nowMs());
    } else {
      registered.remove(codec.workerId(key));
      dispatcher.workerRegistrationReplaced(codec.workerId(key));
    }
  }

  private Optional<WorkerRegistration> read(String key, String value) {
    Optional<WorkerRegistration> worker;
    Throwable failure = null;
    try {
      worker = codec.worker(key, value);
    } catch (RuntimeException | Error e) {
      worker = Optional.empty();
      failure = e;
    }
    if (worker.isPresent()) {
      unreadableKeys.remove(key);
    } else if (unreadableKeys.add(key)) {
      // Only the first of a series, as its writer may repeat it with each heartbeat.
      LOG.warnf(
          failure,
          "event=registration-unreadable key=%s text=%s",
          printable(key),
          printable(value));
    }
    return worker;
  }

  /** Returns the start of a text that another system wrote, on one line. */
  private static String printable(String text) {
    String start = text.length() > MAX_LOGGED_CHARS ? text.substring(0, MAX_LOGGED_CHARS) : text;
    return start.replaceAll("[^ -~]", "?");
  }

  private void unregister(String id) {
    registered.remove(id);
    dispatcher.workerUnregistered(id);
  }
}
