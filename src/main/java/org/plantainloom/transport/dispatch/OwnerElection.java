package org.plantainloom.transport.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;
import org.plantainloom.coordination.dispatch.LastConfirmation;
import org.plantainloom.coordination.dispatch.OwnerClocks;
import org.plantainloom.coordination.dispatch.OwnershipLease;
import org.plantainloom.coordination.membership.CampaignDelay;
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
 * Elects the node that owns the workers. The owner holds a key under a lease; when the key is
 * absent, the first node to write it becomes the owner. The term is stored without a lease, grows
 * with each owner and serves as the fencing token against the owners before.
 *
 * <p>A key that another writer has overwritten is replaced by the next claim: it has no lease that
 * would remove it. An owner whose key was overwritten gives up the ownership, as it can store no
 * progress; the next claim raises the term, so that workers refuse its late commands.
 *
 * <p>The owner acts only while the store has confirmed its ownership lately, see {@link
 * OwnershipLease}.
 */
final class OwnerElection implements PrefixWatch.Listener {
  private static final Logger LOG = Logger.getLogger(OwnerElection.class);

  private static final long RETRY_MS = 300;

  private final NodeContext node;
  private final EventLoop eventLoop;
  private final PrefixWatch.DelayedExecutor delayedExecutor;
  private final OwnershipListener listener;
  private final OwnerClocks clocks = new OwnerClocks();
  private final OwnerClockSampler clockSampler;
  private Optional<OwnerRecord> owner = Optional.empty();
  private boolean ownerKeyRead;

  /** Revision of an owner key that is not the work of a claim; 0 if there is none. */
  private long invalidKeyRevision;

  /** The highest term of a claim that this node has seen; each claim raises the term. */
  private long lastClaimTerm;

  private long lastClaimRevision;
  private Ownership ownership;

  /** Present while this node is the owner. */
  private Optional<OwnershipConfirmations> confirmations = Optional.empty();

  private boolean campaigning;
  private boolean renewing;
  private boolean resigned;

  /** A claim that is on its way has to be of this term at least: a newer owner has asked. */
  private long smallestTerm;

  private long lastRenewalMs;
  private long claimedMs;

  private long oneWayDelayMs;

  /** Revision of the last unreadable term that was logged, as a claim may be repeated often. */
  private long reportedTermRevision;

  OwnerElection(
      NodeContext node,
      EventLoop eventLoop,
      PrefixWatch.DelayedExecutor delayedExecutor,
      Admission admission,
      OwnershipListener listener) {
    this.node = node;
    this.eventLoop = eventLoop;
    this.delayedExecutor = delayedExecutor;
    this.listener = listener;
    this.clockSampler = new OwnerClockSampler(node, eventLoop, clocks, admission);
  }

  /** Returns the current owner, as far as this node knows. */
  Optional<OwnerRecord> owner() {
    return owner;
  }

  @Override
  public void onSnapshot(List<StoreItem> items) {
    Optional<StoreItem> item =
        items.stream().filter(i -> i.key().equals(StoreKeys.OWNER)).findFirst();
    observe(item.map(StoreItem::value), item.map(StoreItem::revision).orElse(0L));
  }

  @Override
  public void onChange(StoreEvent event) {
    if (event.key().equals(StoreKeys.OWNER)) {
      observe(event.value(), event.revision());
    }
  }

  private void observe(Optional<String> value, long revision) {
    ownerKeyRead = true;
    owner = value.flatMap(text -> readOwner(text, revision));
    invalidKeyRevision = value.isPresent() && owner.isEmpty() ? revision : 0;
    if (ownership != null) {
      boolean replaced = owner.isPresent() && owner.get().term() > ownership.record().term();
      boolean gone = owner.isEmpty() && revision > ownership.revision();
      if (replaced) {
        loseOwnership("replaced by " + owner.get().node());
      } else if (gone) {
        // Also if the key was overwritten: this node can store no progress any more.
        loseOwnership(value.isPresent() ? "key overwritten" : "key removed");
      }
    }
    if (owner.isEmpty()) {
      scheduleCampaign();
    }
  }

  /** Returns the owner, or empty if the value of the key is not that of a claim. */
  private Optional<OwnerRecord> readOwner(String text, long revision) {
    try {
      OwnerRecord record = StoredOwner.parse(text, revision);
      if (revision > lastClaimRevision && record.term() <= lastClaimTerm) {
        throw MalformedMessageException.of(
            OwnerRecord.class, "an earlier term, " + record.term(), null);
      }
      recordClaim(record.term(), revision);
      return Optional.of(record);
    } catch (MalformedMessageException e) {
      LOG.errorf(
          "event=owner-unreadable revision=%d reason=%s effect=the key is claimed anew",
          revision, e.getMessage());
      return Optional.empty();
    }
  }

  private void recordClaim(long term, long revision) {
    if (term > lastClaimTerm) {
      lastClaimTerm = term;
      lastClaimRevision = revision;
    }
  }

  /**
   * Renews the lease of the owner's key and has the store confirm the ownership if that is due. A
   * node that is not the owner reads the owner's confirmations instead.
   */
  void tick(long nowMs, long wallMs) {
    if (ownership == null) {
      if (owner.isPresent()) {
        clockSampler.tick(nowMs);
      }
      return;
    }
    // Renewals that get no replies would keep the key of an owner that does not act, and another
    // node could not become the owner.
    boolean begins =
        confirmations.filter(OwnershipConfirmations::hasBegun).isEmpty()
            && nowMs - claimedMs < OwnershipLease.KEY_TTL_MS;
    boolean keepsKey = begins || ownership.validity().isValid(nowMs, wallMs);
    if (keepsKey && !renewing && nowMs - lastRenewalMs >= OwnershipLease.RENEW_INTERVAL_MS) {
      renew(nowMs);
    }
    confirmations.ifPresent(sent -> sent.tick(nowMs, wallMs));
  }

  /** Renews the lease. That confirms no ownership: the store may have removed the key early. */
  private void renew(long nowMs) {
    renewing = true;
    lastRenewalMs = nowMs;
    Ownership renewed = ownership;
    eventLoop.onResult(
        node.store().renewLease(renewed.leaseId()),
        reply -> {
          renewing = false;
          if (reply instanceof LeaseReply.Ended && renewed.equals(ownership)) {
            loseOwnership("lease ended");
            owner = Optional.empty();
            scheduleCampaign();
          }
        });
  }

  private void onKeyChanged(Ownership checked, Optional<StoreItem> item) {
    if (checked.equals(ownership)) {
      loseOwnership("key changed");
      observe(item.map(StoreItem::value), item.map(StoreItem::revision).orElse(0L));
    }
  }

  /** Gives up the ownership for good, so that another node can become the owner at once. */
  void resign() {
    resigned = true;
    if (ownership != null) {
      long lease = ownership.leaseId();
      loseOwnership("resigned");
      eventLoop.onResult(
          node.store().endLease(lease), reply -> LOG.infof("event=lease-ended reply=%s", reply));
    }
  }

  /** Gives up the ownership because a worker has reported a newer owner. */
  void stepDown() {
    if (ownership != null) {
      long lease = ownership.leaseId();
      loseOwnership("fenced by a newer owner");
      eventLoop.onResult(
          node.store().endLease(lease), reply -> LOG.infof("event=lease-ended reply=%s", reply));
    }
  }

  /** Gives up an ownership below a term, for good, because a newer owner has asked for it. */
  void giveUpBelow(long term) {
    smallestTerm = Math.max(smallestTerm, term);
    if (ownership != null && ownership.record().term() < term) {
      loseOwnership("asked by the owner of term " + term);
    }
  }

  private void loseOwnership(String reason) {
    LOG.warnf("event=ownership-lost term=%d reason=%s", ownership.record().term(), reason);
    ownership = null;
    confirmations = Optional.empty();
    listener.onLost(reason);
  }

  private void scheduleCampaign() {
    if (campaigning || resigned || ownership != null) {
      return;
    }
    campaigning = true;
    long seed = node.name().hashCode() * 31L + NodeContext.nowMs();
    delayedExecutor.schedule(
        CampaignDelay.of(node.processors(), oneWayDelayMs, seed), this::campaign);
  }

  private void campaign() {
    if (resigned || owner.isPresent() || !ownerKeyRead) {
      campaigning = false;
      return;
    }
    // The owners that have asked until now committed their terms before this read.
    smallestTerm = 0;
    long sentMs = NodeContext.nowMs();
    eventLoop.onResult(
        node.store().read(StoreKeys.TERM),
        read -> {
          oneWayDelayMs = Math.min(NodeContext.nowMs() - sentMs, RETRY_MS) / 2;
          if (read instanceof ReadReply.Found found && owner.isEmpty()) {
            readUnsettledOwners(found.items().stream().findFirst());
          } else {
            retryCampaign();
          }
        });
  }

  /**
   * Reads the list after the term. Until the claim, which requires that term, its owner may only
   * have shortened the list.
   */
  private void readUnsettledOwners(Optional<StoreItem> term) {
    CompletableFuture<ReadReply> confirmation = node.store().read(StoreKeys.CONFIRMED);
    eventLoop.onResult(
        node.store()
            .read(StoreKeys.UNSETTLED_OWNERS)
            .thenCombine(confirmation, (owners, confirmed) -> List.of(owners, confirmed)),
        reads -> {
          if (reads.get(0) instanceof ReadReply.Found owners
              && reads.get(1) instanceof ReadReply.Found confirmed
              && owner.isEmpty()) {
            requestLease(
                new Predecessors(
                    term,
                    owners.items().stream().findFirst(),
                    confirmed.items().stream().findFirst()));
          } else {
            retryCampaign();
          }
        });
  }

  private void requestLease(Predecessors predecessors) {
    eventLoop.onResult(
        node.store().grantLease(OwnershipLease.KEY_TTL_MS),
        lease -> {
          if (lease instanceof LeaseReply.Held granted && owner.isEmpty()) {
            claimOwnership(granted.leaseId(), predecessors);
          } else {
            retryCampaign();
          }
        });
  }

  private void claimOwnership(long leaseId, Predecessors predecessors) {
    // A stored term below that of a known claim was not written by an owner.
    long term = Math.max(predecessors.term().map(this::termOf).orElse(0L), lastClaimTerm) + 1;
    OwnerRecord record = new OwnerRecord(node.name(), node.controlAddress(), term);
    Optional<List<OwnerRecord>> previousOwners = predecessors.owners(term);
    UnsettledOwners unsettled = UnsettledOwners.withSuccessor(previousOwners, record);
    long sentMs = NodeContext.nowMs();
    Optional<StoredConfirmation> lastConfirmation = predecessors.lastConfirmation(term);
    // Without an owner's key nobody else changes the last confirmation.
    Transaction transaction =
        Transaction.start()
            .expect(StoreKeys.OWNER, invalidKeyRevision)
            .expect(StoreKeys.TERM, predecessors.termRevision())
            .expect(StoreKeys.CONFIRMED, predecessors.confirmationRevision())
            .writeLeased(StoreKeys.OWNER, Json.write(record), leaseId)
            .write(StoreKeys.TERM, Long.toString(term))
            .write(StoreKeys.UNSETTLED_OWNERS, Json.write(unsettled));
    lastConfirmation.ifPresent(
        last -> transaction.write(StoreKeys.CONFIRMED, Json.write(last.claimedBy(term))));
    eventLoop.onResult(
        node.store().commit(transaction),
        reply -> {
          campaigning = false;
          // Another writer may have overwritten the key before this reply arrived.
          if (reply instanceof CommitReply.Committed committed
              && committed.revision() > invalidKeyRevision
              && !resigned
              && term >= smallestTerm) {
            owner = Optional.of(record);
            recordClaim(term, committed.revision());
            Ownership gained =
                new Ownership(
                    record,
                    leaseId,
                    committed.revision(),
                    previousOwners,
                    new OwnershipLease(),
                    lastConfirmation.map(this::dated),
                    clocks);
            ownership = gained;
            long confirmationRevision =
                lastConfirmation.isPresent()
                    ? committed.revision()
                    : predecessors.confirmationRevision();
            OwnershipConfirmations gainedConfirmations =
                new OwnershipConfirmations(
                    node,
                    eventLoop,
                    gained,
                    confirmationRevision,
                    item -> onKeyChanged(gained, item));
            confirmations = Optional.of(gainedConfirmations);
            claimedMs = sentMs;
            lastRenewalMs = sentMs;
            LOG.infof(
                "event=ownership-gained term=%d revision=%d previousOwners=%s",
                term,
                committed.revision(),
                previousOwners.map(OwnerElection::termsOf).orElse("unknown"));
            listener.onGained(gained, gainedConfirmations);
            return;
          }
          LOG.infof("event=campaign-lost term=%d reply=%s", term, reply);
          eventLoop.onResult(
              node.store().endLease(leaseId),
              ended -> LOG.debugf("event=lease-ended reply=%s", ended));
          delayedExecutor.schedule(RETRY_MS, this::campaignIfNoOwner);
        });
  }

  private LastConfirmation dated(StoredConfirmation confirmation) {
    return new LastConfirmation(confirmation.time(), confirmation.workerClocks(), clocks);
  }

  private static String termsOf(List<OwnerRecord> owners) {
    return owners.stream().map(owner -> owner.node() + ":" + owner.term()).toList().toString();
  }

  /**
   * Returns the term of the last owner. If it is unreadable, returns the revision of its item
   * instead, which no earlier term exceeds, so that the fencing tokens go on rising.
   */
  private long termOf(StoreItem item) {
    OptionalLong term = StoredTerm.parse(item);
    if (term.isEmpty() && item.revision() != reportedTermRevision) {
      reportedTermRevision = item.revision();
      LOG.errorf(
          "event=term-unreadable revision=%d length=%d effect=terms go on from the revision",
          item.revision(), item.value().length());
    }
    return term.orElse(item.revision());
  }

  private void retryCampaign() {
    campaigning = false;
    delayedExecutor.schedule(RETRY_MS, this::campaignIfNoOwner);
  }

  private void campaignIfNoOwner() {
    if (owner.isEmpty()) {
      scheduleCampaign();
    }
  }
}
