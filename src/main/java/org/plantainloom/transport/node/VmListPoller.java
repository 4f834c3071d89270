package org.plantainloom.transport.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.plantainloom.state.VmList;
import org.plantainloom.state.VmListing;
import org.plantainloom.transport.duty.EventLoop;

/** Polls the platform's VM list. */
public final class VmListPoller implements AutoCloseable {
  private static final long POLL_INTERVAL_MS = 1_000;

  private final VmList vmList;
  private final EventLoop eventLoop;
  private final List<Consumer<VmListing>> listeners = new CopyOnWriteArrayList<>();
  private volatile VmListing latest = VmListing.empty();
  private boolean pollPending;

  /** Starts polling. */
  public VmListPoller(VmList vmList) {
    this.vmList = vmList;
    this.eventLoop = EventLoop.start("vm-list", POLL_INTERVAL_MS, this::tick);
    eventLoop.execute(this::tick);
  }

  /** Adds a listener for each new listing; it is called on the event loop of this poller. */
  public void addListener(Consumer<VmListing> listener) {
    listeners.add(listener);
  }

  /** Returns the latest listing, or an empty one before the first. */
  public VmListing latest() {
    return latest;
  }

  private void tick() {
    if (!pollPending) {
      pollPending = true;
      eventLoop.onResult(vmList.list(), this::onListing);
    }
  }

  private void onListing(Optional<VmListing> listing) {
    pollPending = false;
    if (listing.isPresent() && listing.get().asOfMs() >= latest.asOfMs()) {
      latest = listing.get();
      listeners.forEach(listener -> listener.accept(latest));
    }
  }

  @Override
  public void close() {
    eventLoop.close();
  }
}
