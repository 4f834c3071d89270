package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.plantainloom.state.job.JobSpec;

/** A process that owns the workers, or believes that it does. */
final class HandoverOwner {
  private static final long WRITE_RETRY_MS = 150;

  private final HandoverSimulation simulation;
  private final int term;
  private final int zone;
  private final double clockRate;
  private final OwnerClocks clocks;
  private final Dispatcher dispatcher;
  private final OwnershipLease ownership = new OwnershipLease();
  private final List<Runnable> waitingReplies = new ArrayList<>();
  private long pausedUntilMs;
  private boolean stopped;
  private int knownJobs;
  private long lastConfirmationMs;
  private long confirmedRevision;

  /** Whether its first confirmation is stored, from which on it may act. */
  private boolean begun;

  private boolean triedToBegin;

  /** When the VM was suspended, on the clock that goes on; 0 if it is not. */
  private long suspendedMs;

  /** How long the monotonic clock has stood still. */
  private long stoodStillMs;

  /** How long this process's watch is behind the store. */
  private long watchDelayMs;

  private long watchSilentUntilMs;

  private long fleetRevision;
  private boolean writing;

  HandoverOwner(HandoverSimulation simulation, int term, HandoverStandby standby) {
    this.simulation = simulation;
    this.term = term;
    this.zone = standby.zone();
    this.clockRate = standby.clockRate();
    this.clocks = standby.clocks();
    this.lastConfirmationMs = time();
    this.confirmedRevision = simulation.store().revision(HandoverStore.confirmedKey());
    this.dispatcher =
        new Dispatcher(
            term,
            DispatchPolicy.of(HandoverSimulation.MAX_LEASE_MS, HandoverSimulation.STOP_GRACE_MS),
            ownership,
            (event, subject, detail) ->
                simulation.trace("owner-" + term + " " + event + " " + subject + " " + detail),
            time());
    dispatcher.configure(DispatcherSimulation.config(), time());
    if (term > 1) {
      dispatcher.previousOwnersKnown();
    }
    standby.lastConfirmation().ifPresent(dispatcher::previousOwnerConfirmed);
    HandoverStore store = simulation.store();
    fleetRevision = store.revision(HandoverStore.fleetKey());
    store.fleet(clocks).forEach(member -> dispatcher.workerInherited(member, time()));
    dispatcher.inheritedWorkers().allRead(time());
    simulation.workers().stream()
        .filter(worker -> worker.registered)
        .forEach(worker -> dispatcher.workerRegistered(worker.registration(), time()));
    for (JobSpec job : store.jobs()) {
      dispatcher.restoreJob(job, store.progress(job.id()), store.revision(job.id()), time());
    }
    knownJobs = store.jobs().size();
    dispatcher.jobsRestored();
    dispatcher.jobsKnownAsOf(time(), wallTime());
  }

  int term() {
    return term;
  }

  int zone() {
    return zone;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  /** The monotonic clock of this process, which stands still while its VM is suspended. */
  long time() {
    return (suspendedMs > 0 ? suspendedMs : wallTime()) - stoodStillMs;
  }

  private long wallTime() {
    return simulation.localTime(clockRate);
  }

  void pause(long durationMs) {
    pausedUntilMs = simulation.nowMs() + durationMs;
    if (suspendedMs == 0 && simulation.drawInt(3) == 0) {
      suspendedMs = wallTime();
    }
  }

  private void resume() {
    if (suspendedMs > 0) {
      stoodStillMs += wallTime() - suspendedMs;
      suspendedMs = 0;
    }
  }

  boolean isPaused() {
    return simulation.nowMs() < pausedUntilMs;
  }

  void stop() {
    stopped = true;
  }

  /** Makes this process learn of new jobs later. */
  void delayWatch(long delayMs) {
    watchDelayMs = delayMs;
  }

  /** Makes this process learn of no new jobs for a time. */
  void silenceWatch(long durationMs) {
    watchSilentUntilMs = simulation.nowMs() + durationMs;
  }

  void receive(Runnable reply) {
    if (!stopped) {
      waitingReplies.add(reply);
    }
  }

  void tick() {
    if (stopped || isPaused()) {
      return;
    }
    resume();
    List<Runnable> replies = List.copyOf(waitingReplies);
    waitingReplies.clear();
    replies.forEach(Runnable::run);
    if (reachesStore()) {
      exchangeWithStore();
    }
    if (dispatcher.isFenced()) {
      stopped = true;
      return;
    }
    if (!simulation.scenario().submitsAtHandover()) {
      // All jobs are known, so that only the ownership limits how long a former owner starts tasks.
      dispatcher.jobsKnownAsOf(time(), wallTime());
    }
    dispatcher
        .decide(time(), wallTime())
        .forEach(command -> simulation.network().send(this, command));
  }

  boolean reachesStore() {
    return simulation.reachesStore(zone);
  }

  /**
   * Renews the ownership, reads new jobs and persists. A former owner at most reads; it may not
   * notice that it has been replaced.
   */
  private void exchangeWithStore() {
    boolean current = simulation.currentOwner() == this;
    boolean due = time() - lastConfirmationMs >= OwnershipLease.CONFIRM_INTERVAL_MS;
    if (current && begun && (due || ownership.isConfirmationNeeded(lastConfirmationMs))) {
      confirm();
    }
    if (current || simulation.scenario().submitsAtHandover()) {
      readJobs();
    }
    if (current && begun) {
      persist();
    } else if (current && (due || !triedToBegin)) {
      begin();
    }
  }

  /** Stores the list of workers with the first confirmation, once it is ready. */
  private void begin() {
    if (!dispatcher.inheritedWorkers().isListReady(time())) {
      return;
    }
    triedToBegin = true;
    List<FleetMember> fleet = dispatcher.firstFleet();
    boolean incomplete = dispatcher.isFleetIncomplete();
    HandoverStore.Confirmation sent = confirmation();
    List<HandoverStore.Change> changes =
        List.of(
            fleetChange(fleet, sent.time()),
            new HandoverStore.Change(HandoverStore.confirmedKey(), confirmedRevision, sent));
    lastConfirmationMs = time();
    simulation
        .store()
        .confirm(
            this,
            sent,
            changes,
            reply -> {
              if (reply instanceof HandoverStore.Reply.Committed committed) {
                fleetRevision = Math.max(fleetRevision, committed.revision());
                dispatcher.fleetPersisted(fleet, incomplete);
              }
              confirmReplied(sent, reply);
            });
  }

  private HandoverStore.Confirmation confirmation() {
    return new HandoverStore.Confirmation(
        new OwnerTime(term, time(), wallTime()), dispatcher.workerClocks(time(), wallTime()));
  }

  private void confirm() {
    lastConfirmationMs = time();
    HandoverStore.Confirmation sent = confirmation();
    simulation.store().confirm(this, sent, confirmedRevision, reply -> confirmReplied(sent, reply));
  }

  private void confirmReplied(HandoverStore.Confirmation sent, HandoverStore.Reply reply) {
    HandoverStore store = simulation.store();
    if (reply instanceof HandoverStore.Reply.Committed committed) {
      confirmedRevision = Math.max(confirmedRevision, committed.revision());
      confirmedAt(sent.time());
    } else if (simulation.currentOwner() == this) {
      confirmedRevision = store.revision(HandoverStore.confirmedKey());
      if (!begun) {
        fleetRevision = store.revision(HandoverStore.fleetKey());
      }
      store
          .lastConfirmation()
          .map(HandoverStore.Confirmation::time)
          .filter(time -> time.term() == term)
          .ifPresent(this::confirmedAt);
    }
  }

  private void confirmedAt(OwnerTime sent) {
    begun = true;
    ownership.confirm(sent.monotonicMs(), sent.wallMs());
    clocks.sampled(sent, sent.monotonicMs());
  }

  private void readJobs() {
    if (simulation.nowMs() < watchSilentUntilMs) {
      return;
    }
    dispatcher.jobsKnownAsOf(time() - watchDelayMs, wallTime() - watchDelayMs);
    List<JobSpec> jobs = simulation.store().jobs();
    while (knownJobs < jobs.size()) {
      JobSpec job = jobs.get(knownJobs++);
      if (watchDelayMs == 0) {
        dispatcher.jobSubmitted(job, time());
      } else {
        simulation.after(watchDelayMs, () -> receive(() -> dispatcher.jobSubmitted(job, time())));
      }
    }
  }

  /** Writes what is not stored yet, one transaction at a time. */
  private void persist() {
    if (!writing) {
      dispatcher.unpersistedFleet().ifPresent(this::persistFleet);
    }
    if (!writing) {
      dispatcher.unpersistedProgress().ifPresent(this::persistProgress);
    }
  }

  private void persistFleet(List<FleetMember> fleet) {
    boolean incomplete = dispatcher.isFleetIncomplete();
    commit(
        List.of(fleetChange(fleet, new OwnerTime(term, time(), wallTime()))),
        revision -> {
          fleetRevision = revision;
          dispatcher.fleetPersisted(fleet, incomplete);
        },
        () -> fleetRevision = simulation.store().revision(HandoverStore.fleetKey()));
  }

  private HandoverStore.Change fleetChange(List<FleetMember> fleet, OwnerTime writtenAt) {
    return new HandoverStore.Change(
        HandoverStore.fleetKey(), fleetRevision, new HandoverFleet(fleet, writtenAt));
  }

  private void persistProgress(ProgressBatch batch) {
    List<HandoverStore.Change> changes =
        batch.entries().stream()
            .map(
                entry ->
                    new HandoverStore.Change(
                        entry.jobId(), entry.expectedRevision(), entry.progress()))
            .toList();
    commit(
        changes,
        revision -> dispatcher.progressPersisted(batch, revision),
        () ->
            changes.forEach(
                change ->
                    dispatcher.correctRevision(
                        change.key(), simulation.store().revision(change.key()))));
  }

  /** Called when a transaction was committed. */
  private interface CommitListener {
    void onCommitted(long revision);
  }

  private void commit(
      List<HandoverStore.Change> changes, CommitListener onCommitted, Runnable onConflict) {
    writing = true;
    simulation
        .store()
        .commit(
            this,
            changes,
            reply -> {
              if (reply instanceof HandoverStore.Reply.Committed committed) {
                writing = false;
                onCommitted.onCommitted(committed.revision());
                return;
              }
              if (reply instanceof HandoverStore.Reply.Conflict) {
                onConflict.run();
              }
              simulation.after(WRITE_RETRY_MS, () -> writing = false);
            });
  }
}
