package org.plantainloom.transport.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.plantainloom.coordination.membership.MembershipView;
import org.plantainloom.coordination.plan.PlannerPolicy;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.ConfigIndex;
import org.plantainloom.state.JobIntent;
import org.plantainloom.state.JobsDocument;
import org.plantainloom.state.Keys;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.PlannerRecord;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;
import org.plantainloom.support.Await;
import org.plantainloom.support.CapturedLog;
import org.plantainloom.support.DamagedEntries;
import org.plantainloom.support.Teams;
import org.plantainloom.support.WatchableStore;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;
import org.testng.annotations.Test;

/** Tests of the planner with documents of one team that another writer has damaged. */
public class PlannerDriverTest {
  private static final MemberId SELF = new MemberId("scheduler-1");
  private static final String VERSION = "1-change";
  // Sorts before the other team, so that its failure would keep the other from being planned.
  private static final TeamId ODD = new TeamId("aberrant");
  private static final int TOO_MANY = 100_001;
  private static final int READS = 2;

  private static final String TASKS =
      Json.write(
          new TasksDocument(
              ODD, 1, List.of(TaskRecord.pending(new TaskId(ODD, "scores", 0), 1)), List.of()));
  private static final String JOBS =
      Json.write(
          new JobsDocument(
              ODD, List.of(new JobIntent(Teams.job("scores", 2, 1, 1_000), "change", false))));
  private static final String CONFIG = Json.write(Teams.withService(ODD, "leafweigh", 3));

  private static String with(String text, String part, String replacement) {
    assertThat(text).contains(part);
    return text.replace(part, replacement);
  }

  /** A planner of two teams. */
  private static final class Fixture implements AutoCloseable {
    private final ProcessContext process = ProcessContext.create("scheduler-1");
    private final JsonClient client = JsonClient.create(process.clock(), process.metrics());
    private final WatchableStore store = new WatchableStore();
    private final PlannerDriver driver =
        new PlannerDriver(process, store, client, SELF, PlannerPolicy.standard());

    private final TreeMap<TeamId, String> versions = new TreeMap<>();

    Fixture() {
      TeamConfig config = Teams.withService(Teams.HENGTAI, "leafweigh", 3);
      store.put(Keys.teamConfig(Teams.HENGTAI, VERSION), Json.write(config));
      versions.put(Teams.HENGTAI, VERSION);
    }

    void addTeam(TeamId team) {
      versions.put(team, VERSION);
      store.put(Keys.teamConfig(team, VERSION), CONFIG.replace(ODD.value(), team.value()));
      store.put(Keys.jobs(team), JOBS.replace(ODD.value(), team.value()));
    }

    /** Returns how often the least read of the documents was read. */
    int readsOf(List<TeamId> teams, Function<TeamId, String> key) {
      return teams.stream().mapToInt(team -> store.reads(key.apply(team))).min().orElseThrow();
    }

    boolean isPlanned(TeamId team) {
      String replica = team + "/leafweigh/2";
      return store.value(Keys.tasks(team)).filter(tasks -> tasks.contains(replica)).isPresent();
    }

    void start() {
      ConfigIndex index = new ConfigIndex(1, versions, new TreeSet<>(), List.of());
      driver.onConfigIndex(new ConfigIndexReading(index, process.nowMs()));
      driver.onMembership(
          new Membership(new MembershipView(List.of()), Optional.of(new PlannerRecord(SELF, 1))));
    }

    /** Waits until a job that the other team creates now has tasks. */
    boolean awaitTasksOfNewJob(String job) {
      JobIntent intent = new JobIntent(Teams.job(job, 1, 1, 1_000), "change", false);
      store.put(
          Keys.jobs(Teams.HENGTAI), Json.write(new JobsDocument(Teams.HENGTAI, List.of(intent))));
      assertThat(driver.jobsChanged(Teams.HENGTAI).join()).isTrue();
      return Await.until(
          () -> store.value(Keys.tasks(Teams.HENGTAI)).filter(t -> t.contains(job)).isPresent());
    }

    @Override
    public void close() {
      driver.close();
      client.close();
    }
  }

  private static List<String> damagedTasks() {
    return List.of(
        with(TASKS, "\"team\":\"aberrant\"", "\"team\":\"hengtai\""),
        with(TASKS, "\"team\":\"aberrant\"", "\"team\":null"),
        with(TASKS, "\"id\":\"aberrant/scores/0\"", "\"id\":null"),
        with(TASKS, "\"id\":\"aberrant/scores/0\",", ""),
        with(TASKS, "\"id\":\"aberrant/scores/0\"", "\"id\":\"hengtai/leafweigh/0\""),
        with(TASKS, "\"phase\":\"PENDING\"", "\"phase\":null"),
        with(TASKS, "\"phase\":\"PENDING\"", "\"phase\":\"BOUND\""),
        with(TASKS, "\"incarnation\":0", "\"incarnation\":-1"),
        with(TASKS, "\"incarnation\":0", "\"incarnation\":2147483647"),
        with(TASKS, "\"incarnation\":0", "\"incarnation\":0.5"),
        with(TASKS, "\"incarnation\":0", "\"incarnation\":99999999999"),
        with(TASKS, "\"checkpoint\":0", "\"checkpoint\":-1"));
  }

  private static List<String> damagedJobs() {
    return List.of(
        with(JOBS, "\"team\":\"aberrant\"", "\"team\":\"hengtai\""),
        with(JOBS, "\"name\":\"scores\"", "\"name\":null"),
        with(JOBS, "\"name\":\"scores\"", "\"name\":\"a b\""),
        with(JOBS, "\"name\":\"scores\",", ""),
        with(JOBS, "\"tasks\":2", "\"tasks\":" + TOO_MANY),
        with(JOBS, "\"tasks\":2", "\"tasks\":-2"),
        with(JOBS, "\"tasks\":2", "\"tasks\":2.5"),
        with(JOBS, "\"cpuMillis\":1000", "\"cpuMillis\":-1000"),
        with(
            JOBS,
            "\"size\":{\"cpuMillis\":1000,\"memoryMb\":2048,\"accelerators\":0}",
            "\"size\":null"));
  }

  private static List<String> damagedConfigs() {
    return List.of(
        with(CONFIG, "\"team\":\"aberrant\"", "\"team\":\"hengtai\""),
        with(CONFIG, "\"name\":\"leafweigh\"", "\"name\":null"),
        with(CONFIG, "\"name\":\"leafweigh\"", "\"name\":\"a b\""),
        with(CONFIG, "\"replicas\":3", "\"replicas\":" + TOO_MANY),
        with(CONFIG, "\"replicas\":3", "\"replicas\":-1"),
        with(CONFIG, "\"cpuMillis\":4000", "\"cpuMillis\":-4000"),
        with(CONFIG, "\"cpuMillis\":100000", "\"cpuMillis\":null"));
  }

  @Test
  public void should_plan_the_other_teams_when_the_tasks_of_some_are_unreadable() {
    assertPlansOtherTeam(Keys::tasks, DamagedEntries.ALL, TASKS);
  }

  @Test
  public void should_plan_the_other_teams_when_the_tasks_of_some_are_damaged() {
    assertPlansOtherTeam(Keys::tasks, damagedTasks(), TASKS);
  }

  @Test
  public void should_plan_the_other_teams_when_the_jobs_of_some_are_unreadable() {
    assertPlansOtherTeam(Keys::jobs, DamagedEntries.ALL, JOBS);
  }

  @Test
  public void should_plan_the_other_teams_when_the_jobs_of_some_are_damaged() {
    assertPlansOtherTeam(Keys::jobs, damagedJobs(), JOBS);
  }

  @Test
  public void should_plan_the_other_teams_when_the_configurations_of_some_are_unreadable() {
    assertPlansOtherTeam(team -> Keys.teamConfig(team, VERSION), DamagedEntries.ALL, CONFIG);
  }

  @Test
  public void should_plan_the_other_teams_when_the_configurations_of_some_are_damaged() {
    assertPlansOtherTeam(team -> Keys.teamConfig(team, VERSION), damagedConfigs(), CONFIG);
  }

  private static void assertPlansOtherTeam(
      Function<TeamId, String> key, List<String> damaged, String repaired) {
    // given
    List<TeamId> odd = new ArrayList<>();
    try (CapturedLog log = CapturedLog.start();
        Fixture fixture = new Fixture()) {
      Map<TeamId, Optional<String>> tasksBefore = new HashMap<>();
      for (String text : damaged) {
        TeamId team = new TeamId(ODD.value() + "-" + odd.size());
        odd.add(team);
        fixture.addTeam(team);
        fixture.store.put(key.apply(team), text.replace(ODD.value(), team.value()));
        tasksBefore.put(team, fixture.store.value(Keys.tasks(team)));
      }
      // when
      fixture.start();
      boolean read = Await.until(() -> fixture.readsOf(odd, key) >= 1);
      // then: nothing is derived from what is unknown
      assertThat(read).as("log: %s", log.lines()).isTrue();
      assertThat(fixture.awaitTasksOfNewJob("late-job")).as("log: %s", log.lines()).isTrue();
      for (TeamId team : odd) {
        assertThat(fixture.store.value(Keys.tasks(team)))
            .as(damaged.get(odd.indexOf(team)))
            .isEqualTo(tasksBefore.get(team));
      }
      // and the teams are planned once their documents are repaired
      assertThat(Await.until(() -> fixture.readsOf(odd, key) >= READS)).isTrue();
      assertThat(log.lines()).hasSize(damaged.size()).allMatch(l -> l.contains(ODD.value()));
      for (TeamId team : odd) {
        fixture.store.put(key.apply(team), repaired.replace(ODD.value(), team.value()));
      }
      assertThat(Await.until(() -> odd.stream().allMatch(fixture::isPlanned))).isTrue();
    }
  }
}
