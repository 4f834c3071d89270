package org.plantainloom.coordination.dispatch;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/**
 * The takeover by a new owner: when the leases of previous owners are over, and when tasks of
 * inherited jobs may start.
 *
 * <p>Fault pattern: owners and workers are lost together, several times within seconds. A worker
 * that does not answer may run tasks until its lease has expired. That time is counted from when
 * the previous owners stopped, if it is known, so that it does not begin again with each owner.
 */
final class Takeover {
  /** A takeover lasts for at most some seconds, so that this interval bounds the lines. */
  private static final long LOG_INTERVAL_MS = 1_000;

  /** Smaller gains in knowledge are not worth a line of the log. */
  private static final long MIN_GAIN_MS = 50;

  /** Workers that a line of the log names. */
  private static final int MAX_LOGGED_WORKERS = 3;

  /** What tells when the previous owners stopped, at the latest. */
  private enum StopEvidence {
    /** They were replaced; owners of older releases are not known. */
    TAKEOVER,
    /** The store did not confirm them after the takeover. */
    REPLACED,
    /** Their last confirmation is known. */
    LAST_CONFIRMATION,
    /** All of them have answered. */
    ANSWERS
  }

  private final DispatchPolicy policy;
  private final WorkerTable workers;
  private final DecisionLog log;

  private final long ownedSinceMs;

  /** When the leases that previous owners gave have expired. */
  private long leasesEndMs;

  private StopEvidence evidence = StopEvidence.TAKEOVER;
  private boolean previousOwnersKnown;

  /** How long the last owner that was confirmed may have acted after that. */
  private long previousOwnerActsMs;

  /** When the previous owners could not act any more, by their last confirmation, if known. */
  private OptionalLong unconfirmedSinceMs = OptionalLong.empty();

  /** Whether it is known what the workers run for previous owners. */
  private boolean caughtUp;

  /** Whether no previous owner can start anything on a worker that this owner knows. */
  private boolean knownWorkersAnswered;

  private boolean allAnswered;
  private long caughtUpMs;
  private long loggedMs;

  Takeover(DispatchPolicy policy, WorkerTable workers, DecisionLog log, long nowMs) {
    this.policy = policy;
    this.workers = workers;
    this.log = log;
    this.ownedSinceMs = nowMs;
    this.previousOwnerActsMs = policy.olderReleaseActsMs();
    this.leasesEndMs = nowMs + policy.takeoverTimeoutMs();
    this.loggedMs = nowMs;
  }

  /** Handles that the previous owners are known, and give no longer leases than this one. */
  void previousOwnersKnown() {
    previousOwnersKnown = true;
    stoppedAt(ownedSinceMs + previousOwnerActsMs, StopEvidence.REPLACED);
  }

  /** Handles that the last owner that was confirmed is of a release that acts as long as this. */
  void previousOwnerIsOfThisRelease() {
    previousOwnerActsMs = policy.previousOwnerActsMs();
    if (evidence == StopEvidence.REPLACED) {
      stoppedAt(ownedSinceMs + previousOwnerActsMs, StopEvidence.REPLACED);
    }
  }

  /**
   * Handles when the last confirmation of the previous owners was sent, at the latest; later calls
   * may tell an earlier time. It was before the takeover in any case.
   */
  void previousOwnersConfirmed(long confirmedMs) {
    long unconfirmedMs = confirmedMs + previousOwnerActsMs;
    if (previousOwnersKnown
        && confirmedMs < ownedSinceMs
        && unconfirmedMs <= unconfirmedSinceMs.orElse(Long.MAX_VALUE) - MIN_GAIN_MS) {
      unconfirmedSinceMs = OptionalLong.of(unconfirmedMs);
      if (evidence != StopEvidence.ANSWERS
          || unconfirmedMs + policy.longestLeaseMs() < leasesEndMs) {
        stoppedAt(unconfirmedMs, StopEvidence.LAST_CONFIRMATION);
      }
    }
  }

  /**
   * Handles the proof that no previous owner has sent a command after a time. Without a known last
   * confirmation, one that was paused may have acted for longer than a new owner would have waited
   * for.
   */
  void previousOwnersStopped(long stoppedMs) {
    if (unconfirmedSinceMs.isEmpty() || stoppedMs < unconfirmedSinceMs.getAsLong()) {
      stoppedAt(stoppedMs, StopEvidence.ANSWERS);
    }
  }

  private void stoppedAt(long stoppedMs, StopEvidence newEvidence) {
    leasesEndMs = stoppedMs + policy.longestLeaseMs();
    evidence = newEvidence;
    log.logDecision(
        "previous-owners-stop",
        "fleet",
        "evidence="
            + evidence
            + " stoppedAfterTakeoverMs="
            + (stoppedMs - ownedSinceMs)
            + " leasesEndAfterTakeoverMs="
            + (leasesEndMs - ownedSinceMs));
  }

  /**
   * Returns whether no lease that a worker may have from any owner holds any more.
   *
   * @param confirmedMs when the store last confirmed the ownership
   */
  boolean isLeaseOver(WorkerState worker, long confirmedMs) {
    boolean onlyOwnLease = previousOwnersKnown && worker.isConfirmed();
    return worker.leaseExpiryMs < confirmedMs
        && (onlyOwnLease || areLeasesOver(confirmedMs) || worker.isInheritedLeaseOver(confirmedMs));
  }

  /**
   * Returns when the last wait ended that goes on only as the store has not confirmed the ownership
   * since.
   */
  OptionalLong lastWaitEndMs(long nowMs, long confirmedMs) {
    LongStream ends =
        workers.all().stream()
            .filter(WorkerState::isSilent)
            .filter(worker -> !isLeaseOver(worker, confirmedMs) && isLeaseOver(worker, nowMs))
            .mapToLong(this::leaseEndMs);
    boolean endsTakeover = !caughtUp && areLeasesOver(nowMs) && !areLeasesOver(confirmedMs);
    return LongStream.concat(ends, endsTakeover ? LongStream.of(leasesEndMs) : LongStream.empty())
        .max();
  }

  /** Returns when the last lease that a worker may have from any owner ends. */
  long leaseEndMs(WorkerState worker) {
    if (worker.isConfirmed() && previousOwnersKnown) {
      return worker.leaseExpiryMs;
    }
    long inheritedMs =
        worker.isConfirmed()
            ? leasesEndMs
            : Math.min(leasesEndMs, worker.inheritedLeaseEndMs.orElse(leasesEndMs));
    return Math.max(worker.leaseExpiryMs, inheritedMs);
  }

  /**
   * Returns whether a run of an unknown job can only be one of a removed job. Before, a previous
   * owner may have started a job that this one has not read yet, however late its watch is.
   */
  boolean areJobsKnown(JobsFreshness jobsFreshness, long nowMs) {
    long previousOwnersStoppedMs = leasesEndMs - policy.longestLeaseMs();
    return areLeasesOver(nowMs) && jobsFreshness.isKnownAsOf(previousOwnersStoppedMs);
  }

  boolean areLeasesOver(long nowMs) {
    return nowMs > leasesEndMs;
  }

  /** Returns whether tasks of inherited jobs may start. */
  boolean isCaughtUp() {
    return caughtUp;
  }

  /** Returns whether no previous owner can start anything on a worker that this owner knows. */
  boolean haveKnownWorkersAnswered() {
    return knownWorkersAnswered;
  }

  /** Returns whether no previous owner may have started tasks of a job that nobody has listed. */
  boolean mayStart(JobState job) {
    if (job.inherited) {
      return caughtUp;
    }
    return knownWorkersAnswered || !job.submittedDuringTakeover;
  }

  /**
   * Ends the takeover if that is due.
   *
   * @param confirmedMs when the store last confirmed the ownership
   */
  void advance(long nowMs, long confirmedMs) {
    if (caughtUp) {
      return;
    }
    allAnswered = workers.areAllKnown(confirmedMs);
    caughtUp = allAnswered || (areLeasesOver(confirmedMs) && !mayKeepEnds(confirmedMs));
    knownWorkersAnswered |= caughtUp || workers.areListedOnesKnown(confirmedMs);
    if (caughtUp) {
      caughtUpMs = nowMs;
      workers.listComplete();
      log.logDecision(
          "caught-up", "fleet", "workers=" + workers.all().size() + " all=" + allAnswered);
    } else if (nowMs - loggedMs >= LOG_INTERVAL_MS) {
      loggedMs = nowMs;
      logUnansweredWorkers(nowMs, confirmedMs);
    }
  }

  /**
   * Returns whether a worker has answered this owner, and may keep ends of previous owners' runs
   * that it has not listed yet. Once a lease of this owner has expired, such an end no longer
   * counts.
   */
  private boolean mayKeepEnds(long confirmedMs) {
    return workers.all().stream()
        .anyMatch(
            worker ->
                worker.isConfirmed()
                    && !WorkerTable.isKnown(worker, confirmedMs)
                    && !(worker.unreachable && worker.leaseExpiryMs < confirmedMs));
  }

  /** Returns the part of a log line that tells why no run of a previous owner is left unknown. */
  String logText(long nowMs) {
    return " by="
        + (allAnswered ? "ALL_ANSWERED" : "LEASES_OVER")
        + " evidenceAgeMs="
        + (nowMs - caughtUpMs);
  }

  /** Says for which workers the tasks of inherited jobs wait, and for how long at the most. */
  private void logUnansweredWorkers(long nowMs, long confirmedMs) {
    List<String> unanswered =
        workers.all().stream()
            .filter(worker -> !WorkerTable.isKnown(worker, confirmedMs))
            .map(WorkerState::id)
            .toList();
    log.logDecision(
        "takeover-waits",
        "fleet",
        "unanswered="
            + unanswered.size()
            + " first="
            + unanswered.subList(0, Math.min(MAX_LOGGED_WORKERS, unanswered.size()))
            + " evidence="
            + evidence
            + " atMostMs="
            + (leasesEndMs - nowMs));
  }
}
