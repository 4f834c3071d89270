package org.plantainloom.transport.node;

import java.util.HashMap;
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
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.JobsDocument;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.Keys;
import org.plantainloom.state.ReadResult;
import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.TimeSource;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.DecodeErrorLog;

/** Reads the planner's documents from the store; used on the planner's event loop only. */
final class DocumentLoader {
  private static final long RETRY_MS = 1_000;

  private final TimeSource time;
  private final KeyValueStore store;
  private final Planner planner;
  private final EventLoop eventLoop;
  private final Set<String> pendingReads = new HashSet<>();
  private final Map<TeamId, String> configVersions = new TreeMap<>();
  private final Set<TeamId> jobsLoaded = new TreeSet<>();
  private final Map<String, Long> unreadableUntilMs = new HashMap<>();
  private final DecodeErrorLog errors = new DecodeErrorLog();
  private long retryAtMs;
  private Iterator<TeamId> teamsToReload = List.<TeamId>of().iterator();

  DocumentLoader(TimeSource time, KeyValueStore store, Planner planner, EventLoop eventLoop) {
    this.time = time;
    this.store = store;
    this.planner = planner;
    this.eventLoop = eventLoop;
  }

  void reset() {
    configVersions.clear();
    jobsLoaded.clear();
  }

  /** Reads the documents that the planner does not have or has in an old version. */
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

  /** Reads the jobs of the next team in turn, in case a change notification was lost. */
  void reloadNextJobs() {
    if (!teamsToReload.hasNext()) {
      teamsToReload = List.copyOf(planner.index().teams().keySet()).iterator();
    }
    if (teamsToReload.hasNext()) {
      readJobs(teamsToReload.next());
    }
  }

  private void readTasks(TeamId team) {
    read(
        Keys.tasks(team),
        found -> {
          TasksDocument tasks = Json.read(found.value(), TasksDocument.class);
          requireTeam(team, tasks.team(), TasksDocument.class);
          planner.updateTasks(tasks, found.revision());
        },
        () -> planner.updateTasks(TasksDocument.empty(team), KeyValueStore.ABSENT));
  }

  private void readConfig(TeamId team, String version) {
    read(
        Keys.teamConfig(team, version),
        found -> {
          if (version.equals(planner.index().teams().get(team))) {
            TeamConfig config = Json.read(found.value(), TeamConfig.class);
            requireTeam(team, config.team(), TeamConfig.class);
            planner.updateConfig(config);
            configVersions.put(team, version);
          }
        },
        () -> {});
  }

  void readJobs(TeamId team) {
    read(
        Keys.jobs(team),
        found -> {
          JobsDocument jobs = Json.read(found.value(), JobsDocument.class);
          requireTeam(team, jobs.team(), JobsDocument.class);
          planner.updateJobs(jobs, found.revision());
          jobsLoaded.add(team);
        },
        () -> {
          planner.updateJobs(JobsDocument.empty(team), KeyValueStore.ABSENT);
          jobsLoaded.add(team);
        });
  }

  private void read(String key, Consumer<ReadResult.Found> onFound, Runnable onAbsent) {
    boolean backingOff = time.nowMs() < unreadableUntilMs.getOrDefault(key, 0L);
    if (backingOff || !pendingReads.add(key)) {
      return;
    }
    long epoch = planner.epoch();
    eventLoop.onResult(
        store.read(key),
        result -> {
          pendingReads.remove(key);
          if (planner.epoch() != epoch) {
            return;
          }
          if (result instanceof ReadResult.Found found) {
            decode(key, found, onFound);
          } else if (result instanceof ReadResult.Absent) {
            onAbsent.run();
          } else {
            retryAtMs = time.nowMs() + RETRY_MS;
          }
        });
  }

  /** A team whose document is unreadable keeps its last state; the other teams are planned. */
  private void decode(String key, ReadResult.Found found, Consumer<ReadResult.Found> onFound) {
    try {
      onFound.accept(found);
      unreadableUntilMs.remove(key);
      errors.readable(key);
    } catch (MalformedMessageException e) {
      unreadableUntilMs.put(key, time.nowMs() + RETRY_MS);
      errors.failed(key, e);
    }
  }

  private static void requireTeam(TeamId expected, TeamId found, Class<?> type) {
    if (!found.equals(expected)) {
      throw MalformedMessageException.of(type, "the document of team " + found, null);
    }
  }
}
