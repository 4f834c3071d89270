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
import org.plantainloom.transport.http.ProcessContext;

/** Carries out the actions of a scheduler's rack keeper and reports their results to it. */
public final class RackDriver implements AutoCloseable {
  private static final long TICK_MS = 50;

  private final ProcessContext process;
  private final KeyValueStore store;
  private final WorkerControl control;
  private final ConfigWatcher config;
  private final RackCoordinator keeper;
  private final EventLoop duty;
  private final Timer commitTimer;
  private final Meter workerMessageMeter;

  /** Starts the driver. */
  public RackDriver(
      ProcessContext process,
      KeyValueStore store,
      WorkerControl control,
      RackCoordinator keeper,
      ConfigWatcher config) {
    this.process = process;
    this.store = store;
    this.control = control;
    this.config = config;
    this.keeper = keeper;
    this.commitTimer = process.metrics().timer("racks.commit");
    this.workerMessageMeter = process.metrics().meter("workers.messages");
    this.duty = EventLoop.start("racks", TICK_MS, this::tick);
  }

  /** Passes a new membership to the rack keeper. */
  public void onMembership(Membership membership) {
    duty.execute(() -> keeper.updateMembership(membership.view()));
  }

  /** Passes a new listing of the VMs to the rack keeper. */
  public void onVmList(VmListing listing) {
    duty.execute(() -> keeper.updateVmList(listing, process.nowMs()));
  }

  /** Passes the zones that are out, according to a new reading of the index, to the rack keeper. */
  public void onConfigIndex(ConfigIndexReading reading) {
    ZoneView view = new ZoneView(reading.asOfMs(), reading.index().zonesOut());
    duty.execute(
        () -> {
          keeper.updateZones(view);
          tick();
        });
  }

  /** Accepts the planner's plans and returns the owned racks and their new statuses. */
  public CompletableFuture<ExchangeReply> exchange(ExchangeRequest request) {
    return CompletableFuture.supplyAsync(
        () -> {
          request.plans().forEach(keeper::updatePlan);
          tick();
          return new ExchangeReply(
              keeper.ownedRacks(), keeper.statusesSince(request.known(), process.nowMs()));
        },
        duty);
  }

  /** Returns the number of racks that this scheduler owns. */
  public CompletableFuture<Integer> ownedRackCount() {
    return CompletableFuture.supplyAsync(() -> keeper.ownedRacks().size(), duty);
  }

  private void tick() {
    keeper.tick(process.nowMs()).forEach(this::perform);
    keeper
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
    } else {
      config.refresh();
    }
  }

  private void read(RackId rack) {
    duty.onResult(
        store.read(Keys.rack(rack)),
        result -> {
          Optional<RackRecord> record = Optional.empty();
          long revision = KeyValueStore.ABSENT;
          if (result instanceof ReadResult.Found found) {
            record = Optional.of(Json.read(found.value(), RackRecord.class));
            revision = found.revision();
          }
          boolean answered = !(result instanceof ReadResult.Unavailable);
          keeper.handleRecordRead(rack, record, revision, answered, process.nowMs());
        });
  }

  private void write(RackWrite write) {
    Timer.Context timing = commitTimer.time();
    String value = Json.write(write.next());
    duty.onResult(
        store.compareAndSwap(Keys.rack(write.rack()), write.expectedRevision(), value),
        result -> {
          timing.stop();
          keeper.handleWriteResult(write, result, process.nowMs());
          tick();
        });
  }

  private void sync(RackAction.SyncWorker sync) {
    workerMessageMeter.mark();
    duty.onResult(
        control.sync(sync.worker(), sync.commands()),
        report -> keeper.handleWorkerReply(sync.rack(), sync.worker(), report, process.nowMs()));
  }

  @Override
  public void close() {
    duty.close();
  }
}
