package org.plantainloom.transport.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.store.CommitReply;
import org.plantainloom.state.store.LeaseReply;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.transport.duty.EventLoop;

/**
 * Which node owns the workers: one key under a lease, taken by the first node that finds it absent.
 * The term, kept without a lease, grows with each owner and fences its predecessors.
 */
final class Ownership implements PrefixWatch.Listener {
  private static final Logger LOG = Logger.getLogger(Ownership.class);

  /**
   * Time without an owner after a kill. A node that has just started on a third of a core may not
   * get to its renewal for two seconds, and losing the ownership costs more than one second.
   */
  private static final long TTL_MS = 3_000;

  private static final long RENEW_EVERY_MS = 500;
  private static final long RETRY_MS = 300;

  /** Nodes far from the store leave the first try to nearer ones: so many times their delay. */
  private static final int DELAY_FACTOR = 10;

  /** Longest random pause before a try, so that nodes do not all try at once. */
  private static final int JITTER_MS = 120;

  private final NodeContext node;
  private final EventLoop duty;
  private final PrefixWatch.Delays delays;
  private final Events events;
  private Optional<OwnerRecord> owner = Optional.empty();
  private boolean ownerKnown;
  private Held held;
  private boolean campaigning;
  private boolean renewing;
  private boolean resigned;
  private long renewedMs;
  private long storeDelayMs;

  /** An ownership of this node. */
  record Held(OwnerRecord record, long leaseId, long revision) {}

  /** Receives changes of ownership, on the duty's thread. */
  interface Events {
    /** This node became the owner. */
    void gained(Held held);

    /** This node is no longer the owner. */
    void lost(String reason);
  }

  Ownership(NodeContext node, EventLoop duty, PrefixWatch.Delays delays, Events events) {
    this.node = node;
    this.duty = duty;
    this.delays = delays;
    this.events = events;
  }

  /** Returns the present owner, as far as this node knows. */
  Optional<OwnerRecord> owner() {
    return owner;
  }

  @Override
  public void read(List<StoreItem> items) {
    Optional<StoreItem> item =
        items.stream().filter(i -> i.key().equals(StoreKeys.OWNER)).findFirst();
    observe(item.map(StoreItem::value), item.map(StoreItem::revision).orElse(0L));
  }

  @Override
  public void changed(StoreEvent event) {
    if (event.key().equals(StoreKeys.OWNER)) {
      observe(event.value(), event.revision());
    }
  }

  private void observe(Optional<String> value, long revision) {
    ownerKnown = true;
    owner = value.flatMap(Ownership::parse);
    if (held != null) {
      boolean replaced = owner.isPresent() && owner.get().term() > held.record().term();
      boolean gone = owner.isEmpty() && revision > held.revision();
      if (replaced || gone) {
        lose(replaced ? "replaced by " + owner.get().node() : "key removed");
      }
    }
    if (owner.isEmpty()) {
      campaignSoon();
    }
  }

  private static Optional<OwnerRecord> parse(String text) {
    try {
      return Optional.of(Json.read(text, OwnerRecord.class));
    } catch (MalformedMessageException e) {
      LOG.warnf("event=owner-unreadable reason=%s", e.getMessage());
      return Optional.empty();
    }
  }

  /** Renews the lease when it is due. */
  void tick(long nowMs) {
    if (held == null || renewing || nowMs - renewedMs < RENEW_EVERY_MS) {
      return;
    }
    renewing = true;
    Held renewed = held;
    duty.onResult(
        node.store().renewLease(renewed.leaseId()),
        reply -> {
          renewing = false;
          renewedMs = nowMs;
          if (reply instanceof LeaseReply.Ended && renewed.equals(held)) {
            lose("lease ended");
            owner = Optional.empty();
            campaignSoon();
          }
        });
  }

  /** Confirms after a pause of this process that it still owns the workers. */
  void confirm(Consumer<Boolean> result) {
    Held checked = held;
    if (checked == null) {
      return;
    }
    duty.onResult(
        node.store().renewLease(checked.leaseId()),
        reply -> {
          if (reply instanceof LeaseReply.Ended && checked.equals(held)) {
            lose("lease ended during a pause");
            owner = Optional.empty();
            campaignSoon();
          }
          result.accept(reply instanceof LeaseReply.Held);
        });
  }

  /** Gives up the ownership, so that another node takes it at once. */
  void resign() {
    resigned = true;
    if (held != null) {
      long lease = held.leaseId();
      lose("resigned");
      duty.onResult(
          node.store().endLease(lease), reply -> LOG.infof("event=lease-ended reply=%s", reply));
    }
  }

  /** Steps down because a worker reported a newer owner. */
  void fenced() {
    if (held != null) {
      long lease = held.leaseId();
      lose("fenced");
      duty.onResult(
          node.store().endLease(lease), reply -> LOG.infof("event=lease-ended reply=%s", reply));
    }
  }

  private void lose(String reason) {
    LOG.warnf("event=ownership-lost term=%d reason=%s", held.record().term(), reason);
    held = null;
    events.lost(reason);
  }

  private void campaignSoon() {
    if (campaigning || resigned || held != null) {
      return;
    }
    campaigning = true;
    long jitter = Math.floorMod(node.name().hashCode() * 31L + NodeContext.nowMs(), JITTER_MS);
    delays.after(jitter + DELAY_FACTOR * storeDelayMs, this::campaign);
  }

  private void campaign() {
    if (resigned || owner.isPresent() || !ownerKnown) {
      campaigning = false;
      return;
    }
    long askedMs = NodeContext.nowMs();
    duty.onResult(
        node.store().read(StoreKeys.TERM),
        read -> {
          storeDelayMs = Math.min(NodeContext.nowMs() - askedMs, RETRY_MS) / 2;
          if (read instanceof ReadReply.Found found && owner.isEmpty()) {
            askLease(found.items().stream().findFirst());
          } else {
            retry();
          }
        });
  }

  private void askLease(Optional<StoreItem> term) {
    duty.onResult(
        node.store().grantLease(TTL_MS),
        lease -> {
          if (lease instanceof LeaseReply.Held granted && owner.isEmpty()) {
            take(granted.leaseId(), term);
          } else {
            retry();
          }
        });
  }

  private void take(long leaseId, Optional<StoreItem> lastTerm) {
    long term = lastTerm.map(item -> Long.parseLong(item.value())).orElse(0L) + 1;
    OwnerRecord record = new OwnerRecord(node.name(), node.controlAddress(), term);
    Transaction transaction =
        Transaction.start()
            .expectAbsent(StoreKeys.OWNER)
            .expect(StoreKeys.TERM, lastTerm.map(StoreItem::revision).orElse(0L))
            .writeLeased(StoreKeys.OWNER, Json.write(record), leaseId)
            .write(StoreKeys.TERM, Long.toString(term));
    duty.onResult(
        node.store().commit(transaction),
        reply -> {
          campaigning = false;
          if (reply instanceof CommitReply.Committed committed && !resigned) {
            owner = Optional.of(record);
            held = new Held(record, leaseId, committed.revision());
            renewedMs = NodeContext.nowMs();
            LOG.infof("event=ownership-gained term=%d revision=%d", term, committed.revision());
            events.gained(held);
            return;
          }
          LOG.infof("event=campaign-lost term=%d reply=%s", term, reply);
          duty.onResult(
              node.store().endLease(leaseId),
              ended -> LOG.debugf("event=lease-ended reply=%s", ended));
          delays.after(RETRY_MS, this::campaignIfAbsent);
        });
  }

  private void retry() {
    campaigning = false;
    delays.after(RETRY_MS, this::campaignIfAbsent);
  }

  private void campaignIfAbsent() {
    if (owner.isEmpty()) {
      campaignSoon();
    }
  }
}
