package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;

/**
 * The store of the owner's key, the list of workers, the jobs and their progress. While it is
 * disturbed, it answers late, refuses writes, and carries some out after their writer gave up.
 */
final class HandoverStore {
  /** The outcome of a write. */
  sealed interface Reply {
    /** The changes were made. */
    record Committed(long revision) implements Reply {}

    /** A key was not as expected. */
    record Conflict() implements Reply {}

    /** Nothing was changed, or it is not known. */
    record Failed() implements Reply {}
  }

  /** A confirmation, and what it names of the workers' clocks. */
  record Confirmation(OwnerTime time, List<WorkerClockReading> workerClocks) {}

  /** A key is changed only if it still has the expected revision. */
  record Change(String key, long expectedRevision, Object value) {}

  private record Item(Object value, long revision) {}

  private static final String FLEET = "fleet";
  private static final String CONFIRMED = "confirmed";

  /** How many confirmations a stale read may be behind, at most. */
  private static final int MAX_STALENESS = 4;

  private static final long REPLY_TIMEOUT_MS = 600;
  private static final int LATEST_WRITE_MS = 6_000;

  private final HandoverSimulation simulation;
  private final Random random;
  private final Map<String, Item> items = new HashMap<>();
  private final List<JobSpec> jobs = new ArrayList<>();

  /** The confirmations that were carried out, in order. */
  private final List<OwnerTime> confirmations = new ArrayList<>();

  private long revision;
  private long downUntilMs;
  private long disturbedUntilMs;

  HandoverStore(HandoverSimulation simulation, Random random) {
    this.simulation = simulation;
    this.random = random;
  }

  /** Begins an outage: no call is carried out. */
  void shutDown(long durationMs) {
    downUntilMs = Math.max(downUntilMs, simulation.nowMs() + durationMs);
  }

  /** Delays, loses or refuses a share of the writes. */
  void disturb(long durationMs) {
    disturbedUntilMs = Math.max(disturbedUntilMs, simulation.nowMs() + durationMs);
  }

  boolean isUp() {
    return simulation.nowMs() >= downUntilMs;
  }

  void submit(JobSpec job) {
    jobs.add(job);
  }

  List<JobSpec> jobs() {
    return jobs;
  }

  long revision(String key) {
    return items.containsKey(key) ? items.get(key).revision() : 0;
  }

  static String fleetKey() {
    return FLEET;
  }

  /** Returns the stored workers, as a process knows them that has sampled the owners' clocks. */
  List<FleetMember> fleet(OwnerClocks clocks) {
    return items.containsKey(FLEET)
        ? ((HandoverFleet) items.get(FLEET).value()).read(clocks)
        : List.of();
  }

  JobProgress progress(String jobId) {
    return items.containsKey(jobId) ? (JobProgress) items.get(jobId).value() : JobProgress.NONE;
  }

  Optional<Confirmation> lastConfirmation() {
    return items.containsKey(CONFIRMED)
        ? Optional.of((Confirmation) items.get(CONFIRMED).value())
        : Optional.empty();
  }

  /** Returns a confirmation that may have been replaced by newer ones. */
  Optional<OwnerTime> staleConfirmation() {
    int behind = random.nextInt(2) * random.nextInt(MAX_STALENESS);
    return confirmations.isEmpty()
        ? Optional.empty()
        : Optional.of(confirmations.get(Math.max(0, confirmations.size() - 1 - behind)));
  }

  /**
   * Confirms an owner if the confirmation before is the one that it expects. The call or its reply
   * may be lost, or it is carried out seconds later.
   */
  void confirm(HandoverOwner owner, Confirmation sent, long expected, Consumer<Reply> reply) {
    confirm(owner, sent, List.of(new Change(CONFIRMED, expected, sent)), reply);
  }

  /** Does the same with the changes with which an owner begins to act. */
  void confirm(
      HandoverOwner owner, Confirmation sent, List<Change> changes, Consumer<Reply> reply) {
    int fate = simulation.isFaulty() ? random.nextInt(12) : random.nextInt(8) + 4;
    boolean late = fate == 0;
    boolean lost = fate == 1;
    boolean unheard = late || fate == 2;
    simulation.after(
        late ? 1_000 + random.nextInt(LATEST_WRITE_MS) : random.nextInt(100),
        () -> {
          if (!lost && isUp()) {
            Reply result = apply(owner, changes);
            if (result instanceof Reply.Committed) {
              confirmations.add(sent.time());
            }
            if (!unheard) {
              simulation.after(
                  random.nextInt(250), () -> owner.receive(() -> reply.accept(result)));
            }
          }
        });
  }

  static String confirmedKey() {
    return CONFIRMED;
  }

  /** Writes changes, on the condition that the writer is still the owner. */
  void commit(HandoverOwner owner, List<Change> changes, Consumer<Reply> reply) {
    if (simulation.nowMs() >= disturbedUntilMs) {
      reply.accept(isUp() ? apply(owner, changes) : new Reply.Failed());
      return;
    }
    int fate = random.nextInt(4);
    if (fate == 0) {
      simulation.after(
          random.nextInt(100), () -> owner.receive(() -> reply.accept(new Reply.Failed())));
    } else if (fate == 1) {
      simulation.after(
          random.nextInt(LATEST_WRITE_MS),
          () -> {
            if (isUp()) {
              apply(owner, changes);
            }
          });
      simulation.after(
          REPLY_TIMEOUT_MS, () -> owner.receive(() -> reply.accept(new Reply.Failed())));
    } else {
      simulation.after(
          random.nextInt(50),
          () -> {
            Reply result = isUp() ? apply(owner, changes) : new Reply.Failed();
            simulation.after(random.nextInt(250), () -> owner.receive(() -> reply.accept(result)));
          });
    }
  }

  private Reply apply(HandoverOwner owner, List<Change> changes) {
    boolean current =
        simulation.currentOwner() == owner
            && changes.stream()
                .allMatch(change -> revision(change.key()) == change.expectedRevision());
    if (!current) {
      return new Reply.Conflict();
    }
    revision++;
    changes.forEach(change -> items.put(change.key(), new Item(change.value(), revision)));
    return new Reply.Committed(revision);
  }
}
