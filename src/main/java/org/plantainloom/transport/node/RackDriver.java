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

/** Carries out what the rack keeper of one scheduler decides. */
public final class RackDriver implements AutoCloseable {
  private static final long TICK_MS = 50;

  private final ProcessContext process;
  private final KeyValueStore store;
  private final WorkerControl control;
  private final ConfigWatcher config;
  private final RackCoordinator keeper;
  private final EventLoop duty;
  private final Timer commitTimer;
  private final Meter workerMessages;

  /** Starts the duty. */
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
    this.workerMessages = process.metrics().meter("workers.messages");
    this.duty = EventLoop.start("racks", TICK_MS, this::tick);
  }

  /** Takes a new view of the members. */
  public void membershipSeen(Membership membership) {
    duty.execute(() -> keeper.updateMembership(membership.view()));
  }

  /** Takes a new listing of the VMs. */
  public void vmListSeen(VmListing listing) {
    duty.execute(() -> keeper.updateVmList(listing, process.nowMs()));
  }

  /** Takes a new reading of the configuration index. */
  public void indexSeen(IndexReading reading) {
    ZoneView view = new ZoneView(reading.asOfMs(), reading.index().zonesOut());
    duty.execute(
        () -> {
          keeper.updateZones(view);
          tick();
        });
  }

  /** Takes the planner's plans and answers with the status of all racks owned. */
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

  /** Returns how many racks this scheduler owns. */
  public CompletableFuture<Integer> owned() {
    return CompletableFuture.supplyAsync(() -> keeper.ownedRacks().size(), duty);
  }

  private void tick() {
    keeper.tick(process.nowMs()).forEach(this::perform);
    keeper.drainEvents().forEach(e -> process.record(e.kind(), e.subject(), e.detail()));
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
    workerMessages.mark();
    duty.onResult(
        control.sync(sync.worker(), sync.commands()),
        report -> keeper.handleWorkerReply(sync.rack(), sync.worker(), report, process.nowMs()));
  }

  @Override
  public void close() {
    duty.close();
  }
}
