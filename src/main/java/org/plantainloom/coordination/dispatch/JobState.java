package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.plantainloom.state.job.DoneRange;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.TaskKey;

/**
 * The scheduler's view of a job.
 *
 * <p>Only open occurrences have state of their own: those that are due and being worked on. One
 * that is over, or not due yet, is a bit. So the memory of a scheduled job and the cost of a round
 * do not depend on how often it will run.
 */
final class JobState {
  /**
   * Open occurrences of a job without a run. More that are due wait as bits, as each one costs a
   * look in each round.
   */
  static final int MAX_IDLE_OCCURRENCES = 32;

  final JobSpec spec;
  final long knownSinceMs;

  /** How much of the heap the job needs until it ends, as estimated. */
  final long footprintBytes;

  private final TreeMap<Integer, OccurrenceState> open = new TreeMap<>();
  private final BitSet doneOccurrences = new BitSet();
  private final List<String> imageKeys = new ArrayList<>();
  private final boolean lasting;

  /** Estimates by the first phase that counts, from 0; -1 until one is needed. */
  private final long[] criticalPathsMs;

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

  private final Map<Integer, FailureHistory> failureHistories = new HashMap<>(0);

  JobState(JobSpec spec, long nowMs) {
    this.spec = spec;
    this.knownSinceMs = nowMs;
    this.footprintBytes = JobFootprint.ofOpen(spec);
    this.lasting = spec.phases().stream().anyMatch(PhaseSpec::lasting);
    this.criticalPathsMs = new long[spec.phases().size()];
    for (int phase = 0; phase < spec.phases().size(); phase++) {
      criticalPathsMs[phase] = -1;
      String image = spec.phases().get(phase).image();
      imageKeys.add(image.isEmpty() ? spec.queue() + "/" + phase : image);
    }
    if (spec.repeatCount() == 0) {
      keepOpen(new OccurrenceState(this, 0));
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
    return lasting;
  }

  /** Returns where the runs of a phase have failed lately, in all occurrences. */
  FailureHistory failureHistory(int phase) {
    return failureHistories.computeIfAbsent(phase, index -> new FailureHistory(spec.id()));
  }

  /** Returns the name under which the tasks of a phase behave alike. */
  String imageKey(int phase) {
    return imageKeys.get(phase);
  }

  boolean areAllOccurrencesDone() {
    return doneOccurrences.cardinality() == spec.occurrences();
  }

  /** Returns the open occurrences, the one that is due first before the others. */
  Collection<OccurrenceState> openOccurrences() {
    return Collections.unmodifiableCollection(open.values());
  }

  /** Returns the phases of the open occurrences whose tasks last. */
  List<PhaseState> lastingPhases() {
    if (!lasting) {
      return List.of();
    }
    return open.values().stream()
        .flatMap(occurrence -> occurrence.phases.stream())
        .filter(phase -> phase.spec.lasting())
        .toList();
  }

  /**
   * Opens occurrences that are due. If more are due than may be open without a run, one half is
   * opened from the oldest, so that each has its turn, and the other half from the latest, which
   * can still be on time.
   */
  void openDue(long wallMs) {
    int due = dueCount(wallMs);
    if (spec.repeatCount() == 0 || isFinished() || due == 0) {
      return;
    }
    int idle = 0;
    for (OccurrenceState occurrence : open.values()) {
      idle += occurrence.mayRun() ? 0 : 1;
    }
    int oldest = nextUnopened(0);
    while (idle < MAX_IDLE_OCCURRENCES / 2 && oldest < due) {
      keepOpen(new OccurrenceState(this, oldest));
      oldest = nextUnopened(oldest + 1);
      idle++;
    }
    int latest = previousUnopened(due - 1);
    while (idle < MAX_IDLE_OCCURRENCES && latest >= oldest) {
      keepOpen(new OccurrenceState(this, latest));
      latest = previousUnopened(latest - 1);
      idle++;
    }
  }

  /** Returns how many occurrences are due, done or not. */
  int dueCount(long wallMs) {
    if (spec.repeatCount() == 0) {
      return 1;
    }
    long sinceFirstMs = wallMs - spec.startAtMs();
    if (sinceFirstMs < 0) {
      return 0;
    }
    long due = spec.periodMs() == 0 ? spec.repeatCount() : 1 + sinceFirstMs / spec.periodMs();
    return (int) Math.min(due, spec.repeatCount());
  }

  /** Returns how many occurrences are due and not done, open or not. */
  int unfinishedDueCount(long wallMs) {
    int due = dueCount(wallMs);
    return due - doneOccurrences.get(0, due).cardinality();
  }

  private int nextUnopened(int from) {
    int next = doneOccurrences.nextClearBit(from);
    while (open.containsKey(next)) {
      next = doneOccurrences.nextClearBit(next + 1);
    }
    return next;
  }

  private int previousUnopened(int from) {
    int previous = from < 0 ? -1 : doneOccurrences.previousClearBit(from);
    while (open.containsKey(previous)) {
      previous = previous == 0 ? -1 : doneOccurrences.previousClearBit(previous - 1);
    }
    return previous;
  }

  /** Keeps the state of an occurrence until it is over. */
  void keepOpen(OccurrenceState occurrence) {
    open.putIfAbsent(occurrence.number, occurrence);
  }

  /** Forgets the state of an occurrence if it is done and nothing of it runs. */
  void closeIfOver(OccurrenceState occurrence) {
    if (!doneOccurrences.get(occurrence.number) && occurrence.isDone()) {
      doneOccurrences.set(occurrence.number);
    }
    boolean over = isFinished() || doneOccurrences.get(occurrence.number);
    if (over && !occurrence.mayRun()) {
      open.remove(occurrence.number, occurrence);
    }
  }

  /** Forgets what only an unfinished job needs. Runs that are being stopped are kept. */
  void releaseState() {
    new ArrayList<>(open.values()).forEach(this::closeIfOver);
  }

  /** Applies an action to each task that has state of its own. */
  void forEachTrackedTask(Consumer<TaskState> action) {
    for (OccurrenceState occurrence : new ArrayList<>(open.values())) {
      for (PhaseState phase : occurrence.phases) {
        new ArrayList<>(phase.trackedTasks()).forEach(action);
      }
    }
  }

  /** Returns the task with a key, or null if the job has no such task. */
  TaskState task(TaskKey key) {
    return spec.hasTask(key)
        ? occurrence(key.occurrence()).phases.get(key.phase()).task(key.index())
        : null;
  }

  private OccurrenceState occurrence(int number) {
    OccurrenceState known = open.get(number);
    if (known != null) {
      return known;
    }
    OccurrenceState occurrence = new OccurrenceState(this, number);
    if (doneOccurrences.get(number)) {
      occurrence.phases.forEach(PhaseState::markAllDone);
    }
    return occurrence;
  }

  /** Returns the estimated critical path of the phases from an index on, in milliseconds. */
  long criticalPathMs(int fromPhase) {
    if (criticalPathsMs[fromPhase] < 0) {
      criticalPathsMs[fromPhase] = computeCriticalPathMs(fromPhase);
    }
    return criticalPathsMs[fromPhase];
  }

  private long computeCriticalPathMs(int fromPhase) {
    int count = spec.phases().size();
    long[] finishMs = new long[count];
    long longestMs = 0;
    for (int i = fromPhase; i < count; i++) {
      PhaseSpec phase = spec.phases().get(i);
      long startMs = 0;
      for (int before : phase.after()) {
        startMs = Math.max(startMs, finishMs[before]);
      }
      finishMs[i] = startMs + phase.estimateMs();
      longestMs = Math.max(longestMs, finishMs[i]);
    }
    return longestMs;
  }

  JobProgress progress() {
    Map<String, String> done = new HashMap<>();
    Map<String, List<Long>> failures = new HashMap<>();
    Map<String, String> checkpoints = new HashMap<>();
    Map<String, String> begun = new HashMap<>();
    if (!isFinished()) {
      DoneRange.of(doneOccurrences).forEach(range -> done.put(range.toString(), ""));
      for (OccurrenceState occurrence : open.values()) {
        if (!doneOccurrences.get(occurrence.number)) {
          occurrence.phases.forEach(
              phase -> {
                putBits(phase, phase.doneBits(), done);
                putBits(phase, phase.begunBits(), begun);
              });
        }
      }
      forEachTrackedTask(task -> putTask(task, failures, checkpoints));
    }
    Optional<Map<String, String>> stored = Optional.of(begun).filter(map -> !map.isEmpty());
    return new JobProgress(status, done, failures, checkpoints, stored);
  }

  private static void putBits(PhaseState phase, BitSet bits, Map<String, String> tasks) {
    if (!bits.isEmpty()) {
      tasks.put(key(phase), HexFormat.of().formatHex(bits.toByteArray()));
    }
  }

  private static void putTask(
      TaskState task, Map<String, List<Long>> failures, Map<String, String> checkpoints) {
    if (task.isDone()) {
      return;
    }
    if (!task.failures.isEmpty()) {
      failures.put(task.key.toString(), List.copyOf(task.failures));
    }
    if (!task.checkpoint.isEmpty()) {
      checkpoints.put(task.key.toString(), task.checkpoint);
    }
  }

  private static String key(PhaseState phase) {
    return phase.occurrence.number + "." + phase.index;
  }

  void restore(JobProgress progress, long revision) {
    inherited = true;
    Map<String, String> begun = progress.begun().orElse(Map.of());
    boolean hasProgress =
        !progress.done().isEmpty() || !progress.failures().isEmpty() || !begun.isEmpty();
    boolean isActive = progress.status() == JobStatus.QUEUED && hasProgress;
    status = isActive ? JobStatus.ACTIVE : progress.status();
    progressRevision = revision;
    if (isFinished()) {
      releaseState();
      return;
    }
    progress
        .done()
        .forEach(
            (text, bits) ->
                DoneRange.parse(text)
                    .ifPresentOrElse(
                        range -> doneOccurrences.set(range.first(), range.last() + 1),
                        () -> restoreDone(text, bits)));
    begun.forEach(this::restoreBegun);
    progress.failures().forEach(this::restoreFailures);
    progress.checkpoints().forEach(this::restoreCheckpoint);
  }

  private void restoreDone(String phaseKey, String bits) {
    PhaseState phase = phaseToRestore(phaseKey);
    BitSet.valueOf(HexFormat.of().parseHex(bits)).stream().forEach(phase::markDone);
    closeIfOver(phase.occurrence);
  }

  private void restoreBegun(String phaseKey, String bits) {
    PhaseState phase = phaseToRestore(phaseKey);
    if (phase.spec.lasting()) {
      BitSet.valueOf(HexFormat.of().parseHex(bits)).stream().forEach(phase::markBegun);
    }
  }

  private PhaseState phaseToRestore(String phaseKey) {
    TaskKey first = TaskKey.parse(spec.id() + "." + phaseKey + ".0").orElseThrow();
    OccurrenceState occurrence = occurrence(first.occurrence());
    if (!doneOccurrences.get(occurrence.number)) {
      keepOpen(occurrence);
    }
    return occurrence.phases.get(first.phase());
  }

  /** The failures of a task that lasts have no limit, so that none is needed. */
  private void restoreFailures(String key, List<Long> runs) {
    TaskState task = task(TaskKey.parse(key).orElseThrow());
    if (!task.isDone() && !task.phase.spec.lasting()) {
      task.track();
      task.failures.addAll(runs);
    }
  }

  private void restoreCheckpoint(String key, String checkpoint) {
    TaskState task = task(TaskKey.parse(key).orElseThrow());
    if (!task.isDone()) {
      task.track();
      task.checkpoint = checkpoint;
    }
  }
}
