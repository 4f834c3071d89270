package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.TaskKey;

/** The scheduler's view of a job. */
final class JobState {
  final JobSpec spec;
  final long knownSinceMs;
  final List<List<PhaseState>> occurrences = new ArrayList<>();
  JobStatus status = JobStatus.QUEUED;
  long progressRevision;

  /** Whether a previous owner may have started tasks of the job. */
  boolean inherited;

  /** Whether the job became known before all workers had answered this owner. */
  boolean submittedDuringTakeover;

  /** Number of changes to the progress so far. */
  long version;

  /** The last version that is persisted. */
  long persistedVersion;

  long finishedMs;

  /** The first version in which the job is finished. */
  long finishedVersion;

  JobState(JobSpec spec, long nowMs) {
    this.spec = spec;
    this.knownSinceMs = nowMs;
    for (int occurrence = 0; occurrence < spec.occurrences(); occurrence++) {
      List<PhaseState> phases = new ArrayList<>();
      for (int phase = 0; phase < spec.phases().size(); phase++) {
        phases.add(new PhaseState(this, occurrence, phase, spec.phases().get(phase)));
      }
      occurrences.add(phases);
    }
  }

  void markDirty() {
    version++;
  }

  boolean isDirty() {
    return version > persistedVersion;
  }

  boolean isFinished() {
    return status.isFinal();
  }

  /** Returns the status that callers may see; a final status only once it is persisted. */
  JobStatus visibleStatus() {
    return isFinished() && persistedVersion < finishedVersion ? JobStatus.ACTIVE : status;
  }

  boolean isLasting() {
    return spec.phases().stream().anyMatch(PhaseSpec::lasting);
  }

  boolean allPhasesDone() {
    for (List<PhaseState> phases : occurrences) {
      for (PhaseState phase : phases) {
        if (!phase.isDone()) {
          return false;
        }
      }
    }
    return true;
  }

  /** Returns the phases whose tasks last. */
  List<PhaseState> lastingPhases() {
    return occurrences.stream()
        .flatMap(List::stream)
        .filter(phase -> phase.spec.lasting())
        .toList();
  }

  void forEachTask(Consumer<TaskState> action) {
    occurrences.forEach(phases -> phases.forEach(phase -> phase.tasks.forEach(action)));
  }

  /** Returns the task with a key, or null if the job has no such task. */
  TaskState task(TaskKey key) {
    if (key.occurrence() < 0 || key.occurrence() >= occurrences.size()) {
      return null;
    }
    List<PhaseState> phases = occurrences.get(key.occurrence());
    if (key.phase() < 0 || key.phase() >= phases.size()) {
      return null;
    }
    List<TaskState> tasks = phases.get(key.phase()).tasks;
    return key.index() < 0 || key.index() >= tasks.size() ? null : tasks.get(key.index());
  }

  JobProgress progress() {
    Map<String, String> done = new HashMap<>();
    Map<String, List<Long>> failures = new HashMap<>();
    Map<String, String> checkpoints = new HashMap<>();
    Map<String, String> begun = new HashMap<>();
    if (!isFinished()) {
      occurrences.forEach(
          phases ->
              phases.forEach(
                  phase -> {
                    putTasks(phase, task -> task.done, done);
                    putTasks(phase, task -> task.begun, begun);
                  }));
      forEachTask(
          task -> {
            if (!task.failures.isEmpty()) {
              failures.put(task.key.toString(), List.copyOf(task.failures));
            }
            if (!task.checkpoint.isEmpty() && !task.done) {
              checkpoints.put(task.key.toString(), task.checkpoint);
            }
          });
    }
    Optional<Map<String, String>> stored = Optional.of(begun).filter(map -> !map.isEmpty());
    return new JobProgress(status, done, failures, checkpoints, stored);
  }

  private static void putTasks(
      PhaseState phase, Predicate<TaskState> condition, Map<String, String> tasks) {
    BitSet bits = new BitSet(phase.tasks.size());
    phase.tasks.stream().filter(condition).forEach(task -> bits.set(task.key.index()));
    if (!bits.isEmpty()) {
      tasks.put(key(phase), HexFormat.of().formatHex(bits.toByteArray()));
    }
  }

  private static String key(PhaseState phase) {
    return phase.occurrence + "." + phase.index;
  }

  void restore(JobProgress progress, long revision) {
    inherited = true;
    Map<String, String> begun = progress.begun().orElse(Map.of());
    boolean hasProgress =
        !progress.done().isEmpty() || !progress.failures().isEmpty() || !begun.isEmpty();
    boolean isActive = progress.status() == JobStatus.QUEUED && hasProgress;
    status = isActive ? JobStatus.ACTIVE : progress.status();
    progressRevision = revision;
    for (List<PhaseState> phases : occurrences) {
      for (PhaseState phase : phases) {
        forEachStored(phase, progress.done(), phase::markDone);
        forEachStored(phase, begun, task -> task.begun = phase.spec.lasting());
      }
    }
    forEachTask(
        task -> {
          String key = task.key.toString();
          task.failures.addAll(progress.failures().getOrDefault(key, List.of()));
          task.checkpoint = progress.checkpoints().getOrDefault(key, "");
        });
  }

  private static void forEachStored(
      PhaseState phase, Map<String, String> stored, Consumer<TaskState> action) {
    String hex = stored.get(key(phase));
    if (hex != null) {
      BitSet bits = BitSet.valueOf(HexFormat.of().parseHex(hex));
      phase.tasks.stream().filter(task -> bits.get(task.key.index())).forEach(action);
    }
  }
}
