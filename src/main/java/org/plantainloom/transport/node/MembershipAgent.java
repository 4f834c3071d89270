package org.plantainloom.transport.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Function;
import org.plantainloom.coordination.membership.MembershipView;
import org.plantainloom.coordination.membership.PlannerElection;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.Keys;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.state.PlannerRecord;
import org.plantainloom.state.StoreEntry;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.DecodeErrorLog;
import org.plantainloom.transport.http.ProcessContext;

/**
 * Registers this process as a member by heartbeats, lists the other members, and takes part in the
 * election of the planner if this process is a scheduler.
 *
 * <p>While the store does not respond, the latest membership stays in force: no other process can
 * take over a role without the store.
 */
public final class MembershipAgent implements AutoCloseable {
  private static final long HEARTBEAT_INTERVAL_MS = 1_000;
  private static final long MEMBER_TTL_MS = 3_500;

  private final ProcessContext process;
  private final KeyValueStore store;
  private final EventLoop eventLoop;
  private final List<Consumer<Membership>> listeners = new CopyOnWriteArrayList<>();
  private final DecodeErrorLog errors = new DecodeErrorLog();
  private volatile Membership membership = Membership.empty();
  private volatile MemberRecord self;
  private volatile boolean stopped;
  private boolean heartbeatPending;
  private boolean electionPending;
  private boolean storeDown;

  /** Starts sending heartbeats for a process. */
  public MembershipAgent(ProcessContext process, KeyValueStore store, MemberRecord self) {
    this.process = process;
    this.store = store;
    this.self = self;
    this.eventLoop = EventLoop.start("membership", HEARTBEAT_INTERVAL_MS, this::tick);
    eventLoop.execute(this::tick);
  }

  /** Adds a listener for each new membership; it is called on the event loop of this agent. */
  public void addListener(Consumer<Membership> listener) {
    listeners.add(listener);
  }

  /** Returns the latest membership. */
  public Membership membership() {
    return membership;
  }

  /** Returns the member id of this process. */
  public MemberId self() {
    return self.id();
  }

  /** Announces that this process is leaving and accepts no new work. */
  public void leave() {
    eventLoop.execute(
        () -> {
          self = new MemberRecord(self.id(), self.role(), self.address(), self.zone(), true);
          tick();
        });
  }

  private void tick() {
    if (stopped) {
      return;
    }
    if (!heartbeatPending) {
      heartbeatPending = true;
      String value = Json.write(self);
      eventLoop.onResult(
          store.putLeased(Keys.member(self.id()), value, MEMBER_TTL_MS), result -> list());
    }
  }

  private void list() {
    if (!stopped) {
      eventLoop.onResult(store.list(Keys.MEMBERS), this::onMembers);
    }
  }

  private void onMembers(Optional<List<StoreEntry>> entries) {
    heartbeatPending = false;
    recordStoreState(entries.isEmpty());
    if (entries.isEmpty()) {
      return;
    }
    List<MemberRecord> members = new ArrayList<>();
    Optional<PlannerRecord> planner = Optional.empty();
    long plannerRevision = KeyValueStore.ABSENT;
    boolean plannerReadable = true;
    for (StoreEntry entry : entries.get()) {
      if (entry.key().equals(Keys.PLANNER)) {
        planner = decode(entry, MembershipAgent::plannerOf);
        plannerReadable = planner.isPresent();
        plannerRevision = entry.revision();
      } else {
        decode(entry, MembershipAgent::memberOf).ifPresent(members::add);
      }
    }
    errors.retain(entries.get().stream().map(StoreEntry::key).toList());
    if (!plannerReadable) {
      planner = membership.planner();
    }
    members.sort(Comparator.comparing(MemberRecord::id));
    membership = new Membership(new MembershipView(members), planner);
    listeners.forEach(listener -> listener.accept(membership));
    // The epoch in an unreadable record is not known, and the racks reject plans of a lower one.
    if (self.role() == MemberRole.SCHEDULER && plannerReadable) {
      electPlannerIfNeeded(planner, plannerRevision);
    }
  }

  private <T> Optional<T> decode(StoreEntry entry, Function<StoreEntry, T> decoder) {
    try {
      T decoded = decoder.apply(entry);
      errors.readable(entry.key());
      return Optional.of(decoded);
    } catch (MalformedMessageException e) {
      errors.failed(entry.key(), e);
      return Optional.empty();
    }
  }

  private static PlannerRecord plannerOf(StoreEntry entry) {
    return Json.read(entry.value(), PlannerRecord.class);
  }

  private static MemberRecord memberOf(StoreEntry entry) {
    MemberRecord member = Json.read(entry.value(), MemberRecord.class);
    if (!entry.key().equals(Keys.member(member.id()))) {
      throw MalformedMessageException.of(
          MemberRecord.class, "the id of member " + member.id(), null);
    }
    return member;
  }

  private void recordStoreState(boolean down) {
    if (down != storeDown) {
      storeDown = down;
      EventKind kind = down ? EventKind.STORE_DOWN : EventKind.STORE_BACK;
      process.record(kind, "store", "as seen by the membership heartbeat");
    }
  }

  private void electPlannerIfNeeded(Optional<PlannerRecord> planner, long revision) {
    if (!electionPending) {
      PlannerElection.next(self.id(), self.leaving(), membership.view(), planner)
          .ifPresent(next -> writePlanner(next, revision));
    }
  }

  private void writePlanner(PlannerRecord next, long revision) {
    electionPending = true;
    eventLoop.onResult(
        store.compareAndSwap(Keys.PLANNER, revision, Json.write(next)),
        result -> {
          electionPending = false;
          tick();
        });
  }

  /** Removes this process from the members and stops the heartbeats. */
  @Override
  public void close() {
    stopped = true;
    store.putLeased(Keys.member(self.id()), "", 0).join();
    eventLoop.close();
  }
}
