package org.plantainloom.transport.node;

import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.plantainloom.coordination.plan.Planner;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.JobsDocument;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.Keys;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.TimeSource;
import org.plantainloom.transport.duty.EventLoop;

/** Reads the planner's documents from the store; used on the planner's duty only. */
final class DocumentLoader {
  private static final long RETRY_MS = 1_000;

  private final TimeSource time;
  private final KeyValueStore store;
  private final Planner planner;
  private final EventLoop duty;
  private final Set<String> reading = new HashSet<>();
  private final Map<TeamId, String> configVersions = new TreeMap<>();
  private final Set<TeamId> jobsLoaded = new TreeSet<>();
  private long retryAtMs;
  private Iterator<TeamId> sweep = List.<TeamId>of().iterator();

  DocumentLoader(TimeSource time, KeyValueStore store, Planner planner, EventLoop duty) {
    this.time = time;
    this.store = store;
    this.planner = planner;
    this.duty = duty;
  }

  void reset() {
    configVersions.clear();
    jobsLoaded.clear();
  }

  /** Reads whatever the planner lacks or has in an old version. */
  void loadMissing() {
    if (time.nowMs() < retryAtMs) {
      return;
    }
    planner.teamsToRead().forEach(this::readTasks);
    planner
        .index()
        .teams()
        .forEach(
            (team, version) -> {
              if (!version.equals(configVersions.get(team))) {
                readConfig(team, version);
              }
              if (!jobsLoaded.contains(team)) {
                readJobs(team);
              }
            });
  }

  /** Reads one team's jobs at a time in turn, in case word of a change was lost. */
  void sweepJobs() {
    if (!sweep.hasNext()) {
      sweep = List.copyOf(planner.index().teams().keySet()).iterator();
    }
    if (sweep.hasNext()) {
      readJobs(sweep.next());
    }
  }

  private void readTasks(TeamId team) {
    read(
        Keys.tasks(team),
        found ->
            planner.updateTasks(Json.read(found.value(), TasksDocument.class), found.revision()),
        () -> planner.updateTasks(TasksDocument.empty(team), KeyValueStore.ABSENT));
  }

  private void readConfig(TeamId team, String version) {
    read(
        Keys.teamConfig(team, version),
        found -> {
          if (version.equals(planner.index().teams().get(team))) {
            planner.updateConfig(Json.read(found.value(), TeamConfig.class));
            configVersions.put(team, version);
          }
        },
        () -> {});
  }

  void readJobs(TeamId team) {
    read(
        Keys.jobs(team),
        found -> {
          planner.updateJobs(Json.read(found.value(), JobsDocument.class), found.revision());
          jobsLoaded.add(team);
        },
        () -> {
          planner.updateJobs(JobsDocument.empty(team), KeyValueStore.ABSENT);
          jobsLoaded.add(team);
        });
  }

  private void read(String key, Consumer<ReadResult.Found> onFound, Runnable onAbsent) {
    if (!reading.add(key)) {
      return;
    }
    long epoch = planner.epoch();
    duty.onResult(
        store.read(key),
        result -> {
          reading.remove(key);
          if (planner.epoch() != epoch) {
            return;
          }
          if (result instanceof ReadResult.Found found) {
            onFound.accept(found);
          } else if (result instanceof ReadResult.Absent) {
            onAbsent.run();
          } else {
            retryAtMs = time.nowMs() + RETRY_MS;
          }
        });
  }
}
