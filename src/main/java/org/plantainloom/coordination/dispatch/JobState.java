package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
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
    if (!isFinished()) {
      occurrences.forEach(phases -> phases.forEach(phase -> putDoneTasks(phase, done)));
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
    return new JobProgress(status, done, failures, checkpoints);
  }

  private static void putDoneTasks(PhaseState phase, Map<String, String> done) {
    if (phase.doneCount > 0) {
      BitSet bits = new BitSet(phase.tasks.size());
      for (TaskState task : phase.tasks) {
        bits.set(task.key.index(), task.done);
      }
      String hex = HexFormat.of().formatHex(bits.toByteArray());
      done.put(phase.occurrence + "." + phase.index, hex);
    }
  }

  void restore(JobProgress progress, long revision) {
    inherited = true;
    boolean hasProgress = !progress.done().isEmpty() || !progress.failures().isEmpty();
    boolean isActive = progress.status() == JobStatus.QUEUED && hasProgress;
    status = isActive ? JobStatus.ACTIVE : progress.status();
    progressRevision = revision;
    for (List<PhaseState> phases : occurrences) {
      for (PhaseState phase : phases) {
        String hex = progress.done().get(phase.occurrence + "." + phase.index);
        if (hex != null) {
          BitSet bits = BitSet.valueOf(HexFormat.of().parseHex(hex));
          phase.tasks.stream().filter(t -> bits.get(t.key.index())).forEach(phase::markDone);
        }
      }
    }
    forEachTask(
        task -> {
          String key = task.key.toString();
          task.failures.addAll(progress.failures().getOrDefault(key, List.of()));
          task.checkpoint = progress.checkpoints().getOrDefault(key, "");
        });
  }
}
