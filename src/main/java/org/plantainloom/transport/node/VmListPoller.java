package org.plantainloom.transport.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.plantainloom.state.VmList;
import org.plantainloom.state.VmListing;
import org.plantainloom.transport.duty.EventLoop;

/** Polls the platform's list of VMs. */
public final class VmListPoller implements AutoCloseable {
  private static final long POLL_MS = 1_000;

  private final VmList vmList;
  private final EventLoop duty;
  private final List<Consumer<VmListing>> listeners = new CopyOnWriteArrayList<>();
  private volatile VmListing latest = VmListing.empty();
  private boolean polling;

  /** Starts polling. */
  public VmListPoller(VmList vmList) {
    this.vmList = vmList;
    this.duty = EventLoop.start("vm-list", POLL_MS, this::tick);
    duty.execute(this::tick);
  }

  /** Adds a listener that is told of each listing; it is called on this duty's thread. */
  public void listen(Consumer<VmListing> listener) {
    listeners.add(listener);
  }

  /** Returns the newest listing. */
  public VmListing latest() {
    return latest;
  }

  private void tick() {
    if (!polling) {
      polling = true;
      duty.onResult(vmList.list(), this::listed);
    }
  }

  private void listed(Optional<VmListing> listing) {
    polling = false;
    if (listing.isPresent() && listing.get().asOfMs() >= latest.asOfMs()) {
      latest = listing.get();
      listeners.forEach(l -> l.accept(latest));
    }
  }

  @Override
  public void close() {
    duty.close();
  }
}
