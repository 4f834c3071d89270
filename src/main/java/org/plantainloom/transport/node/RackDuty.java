package org.plantainloom.transport.node;

import com.codahale.metrics.Timer;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.coordination.membership.RackAssignment;
import org.plantainloom.coordination.membership.Succession;
import org.plantainloom.coordination.rack.LeasePolicy;
import org.plantainloom.coordination.rack.RackOwner;
import org.plantainloom.coordination.rack.RackPlan;
import org.plantainloom.coordination.rack.RackWrite;
import org.plantainloom.coordination.rack.ZoneView;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.message.ExchangeReply;
import org.plantainloom.protocol.message.ExchangeRequest;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.Keys;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.RackId;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerControl;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.transport.duty.Duty;
import org.plantainloom.transport.http.ProcessContext;

/** Looks after the racks of one scheduler: ownership, commits, and messages to their workers. */
public final class RackDuty implements AutoCloseable {
  private static final long TICK_MS = 50;
  private static final long REREAD_MS = 500;

  private final ProcessContext process;
  private final KeyValueStore store;
  private final MemberId self;
  private final LeasePolicy policy;
  private final ConfigDuty config;
  private final WorkerSync workers;
  private final Duty duty;
  private final Timer commitTimer;
  private final SortedMap<RackId, RackOwner> owners = new TreeMap<>();
  private final SortedSet<RackId> racks = new TreeSet<>();
  private final Set<RackId> pendingReads = new TreeSet<>();
  private Membership membership = Membership.empty();
  private SortedMap<RackId, MemberId> assignment = new TreeMap<>();
  private VmListing listing = new VmListing(0, List.of());
  private ZoneView zones = new ZoneView(0, Set.of());
  private long lastRereadMs;

  /** Starts the duty. */
  public RackDuty(
      ProcessContext process,
      KeyValueStore store,
      WorkerControl control,
      MemberId self,
      LeasePolicy policy,
      ConfigDuty config) {
    this.process = process;
    this.store = store;
    this.self = self;
    this.policy = policy;
    this.config = config;
    this.commitTimer = process.metrics().timer("racks.commit");
    this.duty = Duty.start("racks", TICK_MS, this::tick);
    this.workers = new WorkerSync(process, control, duty);
  }

  /** Takes a new view of the members. */
  public void membershipSeen(Membership newMembership) {
    duty.execute(
        () -> {
          membership = newMembership;
          assign();
        });
  }

  /** Takes a new listing of the VMs. */
  public void vmListSeen(VmListing newListing) {
    duty.execute(
        () -> {
          listing = newListing;
          boolean grown = false;
          for (WorkerInfo worker : newListing.workers()) {
            grown |= racks.add(worker.rack());
          }
          if (grown) {
            assign();
          }
          owners.values().forEach(o -> o.vmListSeen(newListing, process.nowMs()));
        });
  }

  /** Takes a new reading of the configuration index. */
  public void indexSeen(IndexReading reading) {
    duty.execute(
        () -> {
          ZoneView view = new ZoneView(reading.asOfMs(), reading.index().zonesOut());
          zones = view.asOfMs() >= zones.asOfMs() ? view : zones;
          owners.values().forEach(o -> o.zonesSeen(view));
        });
  }

  /** Takes the planner's plans and answers with the status of all racks owned. */
  public CompletableFuture<ExchangeReply> exchange(ExchangeRequest request) {
    return CompletableFuture.supplyAsync(
        () -> {
          for (RackPlan plan : request.plans()) {
            Optional.ofNullable(owners.get(plan.rack())).ifPresent(o -> o.planReceived(plan));
          }
          tick();
          long nowMs = process.nowMs();
          return new ExchangeReply(
              owners.values().stream().filter(RackOwner::owns).map(o -> o.status(nowMs)).toList());
        },
        duty);
  }

  /** Returns how many racks this scheduler owns. */
  public CompletableFuture<Integer> owned() {
    return CompletableFuture.supplyAsync(
        () -> (int) owners.values().stream().filter(RackOwner::owns).count(), duty);
  }

  private void assign() {
    assignment = RackAssignment.assign(racks, membership.view().schedulers());
    assignment.forEach(
        (rack, member) -> {
          if (member.equals(self)) {
            owners.computeIfAbsent(rack, this::newOwner);
          }
        });
  }

  private RackOwner newOwner(RackId rack) {
    RackOwner owner = new RackOwner(rack, self, policy);
    owner.vmListSeen(listing, process.nowMs());
    owner.zonesSeen(zones);
    return owner;
  }

  private void tick() {
    long nowMs = process.nowMs();
    boolean rereadDue = nowMs - lastRereadMs > REREAD_MS;
    lastRereadMs = rereadDue ? nowMs : lastRereadMs;
    boolean zonesNeeded = false;
    for (RackOwner owner : List.copyOf(owners.values())) {
      if (owner.needsRead()) {
        read(owner);
      }
      if (owner.owns()) {
        step(owner, nowMs);
        zonesNeeded |= owner.needsZones(nowMs);
      } else if (!self.equals(assignment.get(owner.rack()))) {
        owners.remove(owner.rack());
      } else if (owner.isIdle()) {
        claimOrWait(owner, rereadDue);
      }
    }
    if (zonesNeeded) {
      config.refresh();
    }
  }

  private void read(RackOwner owner) {
    if (!pendingReads.add(owner.rack())) {
      return;
    }
    duty.take(
        store.read(Keys.rack(owner.rack())),
        result -> {
          pendingReads.remove(owner.rack());
          recordRead(owner, result);
        });
  }

  private void recordRead(RackOwner owner, ReadResult result) {
    boolean owned = owner.owns();
    if (result instanceof ReadResult.Found found) {
      RackRecord record = Json.read(found.value(), RackRecord.class);
      owner.recordRead(record, found.revision(), process.nowMs());
    } else if (result instanceof ReadResult.Absent) {
      owner.recordAbsent();
    }
    noteOwnership(owner, owned);
  }

  private void noteOwnership(RackOwner owner, boolean before) {
    if (owner.owns() && !before) {
      owner.vmListSeen(listing, process.nowMs());
      process.record(EventKind.RACK_ACQUIRED, owner.rack(), "epoch " + owner.epoch());
    } else if (!owner.owns() && before) {
      process.record(EventKind.RACK_RELEASED, owner.rack(), "epoch " + owner.epoch());
    }
  }

  private void claimOrWait(RackOwner owner, boolean rereadDue) {
    Optional<MemberId> holder = owner.record().map(RackRecord::owner);
    if (Succession.decide(self, holder, self, membership.view()) == Succession.TAKE) {
      write(owner, owner.claim());
    } else if (rereadDue) {
      read(owner);
    }
  }

  private void step(RackOwner owner, long nowMs) {
    MemberId assigned = assignment.getOrDefault(owner.rack(), self);
    Succession succession = Succession.decide(self, Optional.of(self), assigned, membership.view());
    if (succession == Succession.HAND_OVER && owner.isIdle()) {
      write(owner, owner.handOver(assigned));
      return;
    }
    owner.nextWrite(nowMs).ifPresent(w -> write(owner, w));
    for (WorkerInfo worker : listing.workers()) {
      if (worker.rack().equals(owner.rack())) {
        workers.syncIfDue(owner, worker, nowMs);
      }
    }
  }

  private void write(RackOwner owner, RackWrite write) {
    Timer.Context timing = commitTimer.time();
    duty.take(
        store.compareAndSwap(
            Keys.rack(write.rack()), write.expectedRevision(), Json.write(write.next())),
        result -> {
          timing.stop();
          boolean owned = owner.owns();
          owner.writeSettled(write, result, process.nowMs());
          noteOwnership(owner, owned);
          tick();
        });
  }

  @Override
  public void close() {
    duty.close();
  }
}
