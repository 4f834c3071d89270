package org.plantainloom.transport.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.plantainloom.coordination.membership.MembershipView;
import org.plantainloom.coordination.membership.PlannerElection;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.Keys;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.state.PlannerRecord;
import org.plantainloom.state.StoreEntry;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.ProcessContext;

/**
 * Keeps this process in the list of members and knows who else is there and who plans.
 *
 * <p>While the store is silent the last view stays in force: without the store nobody can take
 * anything over.
 */
public final class MembershipAgent implements AutoCloseable {
  private static final long HEARTBEAT_MS = 1_000;
  private static final long MEMBER_TTL_MS = 3_500;

  private final ProcessContext process;
  private final KeyValueStore store;
  private final EventLoop duty;
  private final List<Consumer<Membership>> listeners = new CopyOnWriteArrayList<>();
  private volatile Membership membership = Membership.empty();
  private volatile MemberRecord self;
  private volatile boolean stopped;
  private boolean listing;
  private boolean electing;
  private boolean storeDown;

  /** Starts the duty for a process. */
  public MembershipAgent(ProcessContext process, KeyValueStore store, MemberRecord self) {
    this.process = process;
    this.store = store;
    this.self = self;
    this.duty = EventLoop.start("membership", HEARTBEAT_MS, this::tick);
    duty.execute(this::tick);
  }

  /** Adds a listener that is told of each new view; it is called on this duty's thread. */
  public void listen(Consumer<Membership> listener) {
    listeners.add(listener);
  }

  /** Returns the latest view. */
  public Membership membership() {
    return membership;
  }

  /** Returns the name of this process. */
  public MemberId self() {
    return self.id();
  }

  /** Announces that this process takes on nothing new. */
  public void leave() {
    duty.execute(
        () -> {
          self = new MemberRecord(self.id(), self.role(), self.address(), self.zone(), true);
          tick();
        });
  }

  private void tick() {
    if (stopped) {
      return;
    }
    if (!listing) {
      listing = true;
      String value = Json.write(self);
      duty.onResult(
          store.putLeased(Keys.member(self.id()), value, MEMBER_TTL_MS), result -> list());
    }
  }

  private void list() {
    if (!stopped) {
      duty.onResult(store.list(Keys.MEMBERS), this::listed);
    }
  }

  private void listed(Optional<List<StoreEntry>> entries) {
    listing = false;
    noteStore(entries.isEmpty());
    if (entries.isEmpty()) {
      return;
    }
    List<MemberRecord> members = new ArrayList<>();
    Optional<PlannerRecord> planner = Optional.empty();
    long plannerRevision = KeyValueStore.ABSENT;
    for (StoreEntry entry : entries.get()) {
      if (entry.key().equals(Keys.PLANNER)) {
        planner = Optional.of(Json.read(entry.value(), PlannerRecord.class));
        plannerRevision = entry.revision();
      } else {
        members.add(Json.read(entry.value(), MemberRecord.class));
      }
    }
    members.sort(Comparator.comparing(MemberRecord::id));
    membership = new Membership(new MembershipView(members), planner);
    listeners.forEach(l -> l.accept(membership));
    if (self.role() == MemberRole.SCHEDULER) {
      settlePlanner(planner, plannerRevision);
    }
  }

  private void noteStore(boolean down) {
    if (down != storeDown) {
      storeDown = down;
      EventKind kind = down ? EventKind.STORE_DOWN : EventKind.STORE_BACK;
      process.record(kind, "store", "as seen by membership");
    }
  }

  private void settlePlanner(Optional<PlannerRecord> planner, long revision) {
    if (!electing) {
      PlannerElection.next(self.id(), self.leaving(), membership.view(), planner)
          .ifPresent(next -> elect(next, revision));
    }
  }

  private void elect(PlannerRecord next, long revision) {
    electing = true;
    duty.onResult(
        store.compareAndSwap(Keys.PLANNER, revision, Json.write(next)),
        result -> {
          electing = false;
          tick();
        });
  }

  /** Removes this process from the list of members and stops. */
  @Override
  public void close() {
    stopped = true;
    store.putLeased(Keys.member(self.id()), "", 0).join();
    duty.close();
  }
}
