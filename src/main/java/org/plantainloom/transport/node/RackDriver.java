package org.plantainloom.transport.node;

import com.codahale.metrics.Meter;
import com.codahale.metrics.Timer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.coordination.rack.RackAction;
import org.plantainloom.coordination.rack.RackCoordinator;
import org.plantainloom.coordination.rack.RackWrite;
import org.plantainloom.coordination.rack.ZoneView;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.protocol.message.ExchangeReply;
import org.plantainloom.protocol.message.ExchangeRequest;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.Keys;
import org.plantainloom.state.RackId;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerControl;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.DecodeErrorLog;
import org.plantainloom.transport.http.ProcessContext;

/** Carries out the actions of a scheduler's rack coordinator and reports their results to it. */
public final class RackDriver implements AutoCloseable {
  private static final long TICK_MS = 50;

  private final ProcessContext process;
  private final KeyValueStore store;
  private final WorkerControl control;
  private final ConfigWatcher config;
  private final RackCoordinator coordinator;
  private final EventLoop eventLoop;
  private final Timer commitTimer;
  private final Meter workerMessageMeter;
  private final DecodeErrorLog errors = new DecodeErrorLog();

  /** Starts the driver. */
  public RackDriver(
      ProcessContext process,
      KeyValueStore store,
      WorkerControl control,
      RackCoordinator coordinator,
      ConfigWatcher config) {
    this.process = process;
    this.store = store;
    this.control = control;
    this.config = config;
    this.coordinator = coordinator;
    this.commitTimer = process.metrics().timer("racks.commit");
    this.workerMessageMeter = process.metrics().meter("workers.messages");
    this.eventLoop = EventLoop.start("racks", TICK_MS, this::tick);
  }

  /** Passes a new membership to the rack coordinator. */
  public void onMembership(Membership membership) {
    eventLoop.execute(() -> coordinator.updateMembership(membership.view()));
  }

  /** Passes a new listing of the VMs to the rack coordinator. */
  public void onVmList(VmListing listing) {
    eventLoop.execute(() -> coordinator.updateVmList(listing, process.nowMs()));
  }

  /**
   * Passes the zones that are out of service, according to a new reading of the index, to the rack
   * coordinator.
   */
  public void onConfigIndex(ConfigIndexReading reading) {
    ZoneView view = new ZoneView(reading.asOfMs(), reading.index().zonesOut());
    eventLoop.execute(
        () -> {
          coordinator.updateZones(view);
          tick();
        });
  }

  /** Accepts the planner's plans and returns the owned racks and their new statuses. */
  public CompletableFuture<ExchangeReply> exchange(ExchangeRequest request) {
    return CompletableFuture.supplyAsync(
        () -> {
          request.plans().forEach(coordinator::updatePlan);
          tick();
          return new ExchangeReply(
              coordinator.ownedRacks(),
              coordinator.statusesSince(request.known(), process.nowMs()));
        },
        eventLoop);
  }

  /** Returns the number of racks that this scheduler owns. */
  public CompletableFuture<Integer> ownedRackCount() {
    return CompletableFuture.supplyAsync(() -> coordinator.ownedRacks().size(), eventLoop);
  }

  private void tick() {
    coordinator.tick(process.nowMs()).forEach(this::perform);
    coordinator
        .drainEvents()
        .forEach(event -> process.record(event.kind(), event.subject(), event.detail()));
  }

  private void perform(RackAction action) {
    if (action instanceof RackAction.ReadRecord read) {
      read(read.rack());
    } else if (action instanceof RackAction.WriteRecord write) {
      write(write.write());
    } else if (action instanceof RackAction.SyncWorker sync) {
      sync(sync);
    } else { // RackAction.RefreshZones
      config.refresh();
    }
  }

  private void read(RackId rack) {
    eventLoop.onResult(
        store.read(Keys.rack(rack)),
        result -> {
          Optional<RackRecord> record = Optional.empty();
          long revision = KeyValueStore.ABSENT;
          if (result instanceof ReadResult.Found found) {
            record = decode(rack, found.value());
            revision = found.revision();
          }
          // An unreadable record must not count as absent: its commitments would be made again.
          boolean responded =
              result instanceof ReadResult.Absent
                  || (result instanceof ReadResult.Found && record.isPresent());
          coordinator.handleRecordRead(rack, record, revision, responded, process.nowMs());
        });
  }

  private Optional<RackRecord> decode(RackId rack, String text) {
    String key = Keys.rack(rack);
    try {
      RackRecord record = Json.read(text, RackRecord.class);
      if (!record.rack().equals(rack)) {
        throw MalformedMessageException.of(
            RackRecord.class, "the record of rack " + record.rack(), null);
      }
      errors.readable(key);
      return Optional.of(record);
    } catch (MalformedMessageException e) {
      errors.failed(key, e);
      return Optional.empty();
    }
  }

  private void write(RackWrite write) {
    Timer.Context timing = commitTimer.time();
    String value = Json.write(write.next());
    eventLoop.onResult(
        store.compareAndSwap(Keys.rack(write.rack()), write.expectedRevision(), value),
        result -> {
          timing.stop();
          coordinator.handleWriteResult(write, result, process.nowMs());
          tick();
        });
  }

  private void sync(RackAction.SyncWorker sync) {
    workerMessageMeter.mark();
    eventLoop.onResult(
        control.sync(sync.worker(), sync.commands()),
        reply -> coordinator.handleWorkerReply(sync.rack(), sync.worker(), reply, process.nowMs()));
  }

  @Override
  public void close() {
    eventLoop.close();
  }
}
