package org.plantainloom.transport.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.plantainloom.coordination.membership.MembershipView;
import org.plantainloom.coordination.plan.Planner;
import org.plantainloom.coordination.plan.PlannerPolicy;
import org.plantainloom.coordination.rack.Binding;
import org.plantainloom.coordination.rack.CommitmentStatus;
import org.plantainloom.coordination.rack.LeasePolicy;
import org.plantainloom.coordination.rack.RackAction;
import org.plantainloom.coordination.rack.RackCoordinator;
import org.plantainloom.coordination.rack.RackPlan;
import org.plantainloom.coordination.rack.RackStatus;
import org.plantainloom.coordination.rack.ZoneView;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.protocol.message.ExchangeReply;
import org.plantainloom.protocol.message.ExchangeRequest;
import org.plantainloom.state.Commitment;
import org.plantainloom.state.ConfigIndex;
import org.plantainloom.state.JobIntent;
import org.plantainloom.state.JobsDocument;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.state.PlannerRecord;
import org.plantainloom.state.RackId;
import org.plantainloom.state.RackRecord;
import org.plantainloom.state.Release;
import org.plantainloom.state.ReleaseOutcome;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.RunState;
import org.plantainloom.state.TaskId;
import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskRecord;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.TaskReport;
import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.WorkerReport;
import org.plantainloom.state.WorkloadKind;
import org.plantainloom.state.WriteResult;
import org.plantainloom.state.ZoneName;
import org.plantainloom.support.Fleets;
import org.plantainloom.support.MessageMutator;
import org.plantainloom.support.Teams;
import org.testng.annotations.Test;

/**
 * Feeds damaged records to the planner and the rack coordinator; seeds are fixed, so each run sees
 * the same records.
 */
public class DamagedRecordsTest {
  private static final int RECORDS = 2_000;
  private static final int MAX_TASKS = 100_000;
  private static final long NOW_MS = 1_700_000_000_000L;
  private static final MemberId SELF = new MemberId("scheduler-1");
  private static final WorkerInfo WORKER = Fleets.worker("lugu", "nantou", 0, 0, 0);
  private static final RackId RACK = WORKER.rack();
  private static final TaskRef TASK = new TaskRef(new TaskId(Teams.HENGTAI, "leafweigh", 0), 1);
  private static final TaskRef ENDED = new TaskRef(new TaskId(Teams.HENGTAI, "leafweigh", 1), 1);
  private static final TaskLaunch LAUNCH =
      new TaskLaunch(WorkloadKind.SERVICE, new ResourceVector(4_000, 8_192, 0), 0, 0);
  private static final Commitment COMMITMENT = new Commitment(TASK, WORKER.id(), 1, LAUNCH, 0);
  private static final Release RELEASE = new Release(ENDED, WORKER.id(), ReleaseOutcome.EVICTED, 0);

  /** Decodes the text and passes it on, unless it is rejected as malformed. */
  private static <T> void ifReadable(String text, Class<T> type, Consumer<T> consumer) {
    Optional<T> decoded;
    try {
      decoded = Optional.of(Json.read(text, type));
    } catch (MalformedMessageException e) {
      decoded = Optional.empty();
    }
    decoded.ifPresent(
        value -> assertThatCode(() -> consumer.accept(value)).as(text).doesNotThrowAnyException());
  }

  /** Documents and statuses that the planner derives its plans from. */
  public static class PlannerInputs {
    private static final TeamConfig CONFIG = Teams.withService(Teams.HENGTAI, "leafweigh", 3);
    private static final JobsDocument JOBS =
        new JobsDocument(
            Teams.HENGTAI,
            List.of(new JobIntent(Teams.job("scores", 3, 1, 1_000), "change", false)));
    private static final TasksDocument TASKS =
        new TasksDocument(
            Teams.HENGTAI,
            1,
            List.of(
                TaskRecord.pending(TASK.task(), NOW_MS).boundTo(RACK, WORKER.id()),
                TaskRecord.pending(ENDED.task(), NOW_MS).boundTo(RACK, WORKER.id())),
            List.of());
    private static final ExchangeReply REPLY =
        new ExchangeReply(
            List.of(RACK),
            List.of(
                new RackStatus(
                    RACK,
                    1,
                    0,
                    1,
                    List.of(new CommitmentStatus(COMMITMENT, Optional.of(RunState.RUNNING))),
                    List.of(),
                    List.of(RELEASE),
                    List.of(new WorkerId("silent")))));

    private static Planner planner() {
      Planner planner = new Planner(PlannerPolicy.standard());
      planner.updateIndex(
          new ConfigIndex(
              1, new TreeMap<>(Map.of(Teams.HENGTAI, "1")), new TreeSet<>(), List.of()));
      planner.startEpoch(1);
      planner.updateVmList(VmListing.of(NOW_MS, List.of(WORKER)));
      planner.updateConfig(CONFIG);
      planner.updateJobs(JOBS, 1);
      planner.updateTasks(TASKS, 1);
      REPLY.news().forEach(planner::updateStatus);
      return planner;
    }

    private static void plan(Planner planner) {
      for (int round = 0; round < 2; round++) {
        planner
            .nextWrites(NOW_MS)
            .forEach(
                write -> {
                  assertThat(write.next().tasks()).hasSizeLessThanOrEqualTo(2 * MAX_TASKS + 3);
                  planner.handleWriteResult(write, new WriteResult.Written(9));
                });
        planner.plansFor(Set.of(RACK));
        planner.routes(1);
        planner.statusVersions(Set.of(RACK));
        Json.write(planner.snapshot());
      }
    }

    private static <T> void assertPlans(long seed, T record, BiConsumer<Planner, T> update) {
      MessageMutator mutator = new MessageMutator(seed);
      String text = Json.write(record);
      @SuppressWarnings("unchecked")
      Class<T> type = (Class<T>) record.getClass();
      for (int i = 0; i < RECORDS; i++) {
        ifReadable(
            mutator.mutate(text),
            type,
            damaged -> {
              Planner planner = planner();
              update.accept(planner, damaged);
              plan(planner);
            });
      }
    }

    @Test
    public void should_plan_with_any_readable_configuration() {
      assertPlans(11, CONFIG, Planner::updateConfig);
    }

    @Test
    public void should_plan_with_any_readable_jobs() {
      assertPlans(12, JOBS, (planner, jobs) -> planner.updateJobs(jobs, 2));
    }

    @Test
    public void should_plan_with_any_readable_tasks() {
      assertPlans(13, TASKS, (planner, tasks) -> planner.updateTasks(tasks, 2));
    }

    @Test
    public void should_plan_with_any_readable_status() {
      assertPlans(14, REPLY, (planner, reply) -> reply.news().forEach(planner::updateStatus));
    }

    @Test
    public void should_plan_with_any_readable_index() {
      ConfigIndex index =
          new ConfigIndex(
              2,
              new TreeMap<>(Map.of(Teams.HENGTAI, "1")),
              new TreeSet<>(Set.of(new ZoneName("lugu"))),
              List.of("change"));
      assertPlans(15, index, Planner::updateIndex);
    }
  }

  /** Records and messages that the owner of a rack acts on. */
  public static class RackInputs {
    private static final RackRecord RECORD =
        new RackRecord(RACK, SELF, 3, 1, NOW_MS, List.of(COMMITMENT), List.of(RELEASE));
    private static final WorkerReport REPORT =
        new WorkerReport(
            WORKER.id(), 1, 3, true, List.of(new TaskReport(TASK, RunState.RUNNING, 1, 100)));
    private static final ExchangeRequest REQUEST =
        new ExchangeRequest(
            List.of(
                new RackPlan(
                    RACK,
                    1,
                    3,
                    1,
                    List.of(
                        new Binding(
                            new TaskRef(new TaskId(Teams.HENGTAI, "leafweigh", 2), 1),
                            WORKER.id(),
                            LAUNCH,
                            0)),
                    List.of(TASK),
                    List.of(ENDED))),
            Map.of());

    private static RackCoordinator coordinator() {
      RackCoordinator coordinator = new RackCoordinator(SELF, LeasePolicy.standard());
      MemberRecord self =
          new MemberRecord(SELF, MemberRole.SCHEDULER, "127.0.0.1:1", new ZoneName("lugu"), false);
      coordinator.updateMembership(new MembershipView(List.of(self)));
      coordinator.updateVmList(VmListing.of(NOW_MS, List.of(WORKER)), NOW_MS);
      coordinator.updateZones(new ZoneView(NOW_MS, Set.of()));
      return coordinator;
    }

    private static void run(RackCoordinator coordinator) {
      for (long nowMs = NOW_MS; nowMs < NOW_MS + 3_000; nowMs += 600) {
        for (RackAction action : coordinator.tick(nowMs)) {
          if (action instanceof RackAction.WriteRecord write) {
            Json.write(write.write().next());
            coordinator.handleWriteResult(write.write(), new WriteResult.Written(9), nowMs);
          }
        }
        coordinator.ownedRacks();
        coordinator.statusesSince(Map.of(), nowMs);
      }
    }

    private static void readRecord(RackCoordinator coordinator, RackRecord record) {
      coordinator.tick(NOW_MS);
      coordinator.handleRecordRead(RACK, Optional.of(record), 1, true, NOW_MS);
    }

    @Test
    public void should_run_with_any_readable_record() {
      MessageMutator mutator = new MessageMutator(21);
      for (int i = 0; i < RECORDS; i++) {
        ifReadable(
            mutator.mutate(Json.write(RECORD)),
            RackRecord.class,
            damaged -> {
              RackCoordinator coordinator = coordinator();
              readRecord(coordinator, damaged);
              run(coordinator);
            });
      }
    }

    @Test
    public void should_run_with_any_readable_report() {
      MessageMutator mutator = new MessageMutator(22);
      for (int i = 0; i < RECORDS; i++) {
        ifReadable(
            mutator.mutate(Json.write(REPORT)),
            WorkerReport.class,
            damaged -> {
              RackCoordinator coordinator = coordinator();
              readRecord(coordinator, RECORD);
              coordinator.handleWorkerReply(RACK, WORKER, Optional.of(damaged), NOW_MS);
              run(coordinator);
            });
      }
    }

    @Test
    public void should_run_with_any_readable_plan() {
      MessageMutator mutator = new MessageMutator(23);
      for (int i = 0; i < RECORDS; i++) {
        ifReadable(
            mutator.mutate(Json.write(REQUEST)),
            ExchangeRequest.class,
            damaged -> {
              RackCoordinator coordinator = coordinator();
              readRecord(coordinator, RECORD);
              coordinator.statusesSince(damaged.known(), NOW_MS);
              damaged.plans().forEach(coordinator::updatePlan);
              run(coordinator);
            });
      }
    }
  }

  /** Entries of the members. */
  public static class Members {
    @Test
    public void should_name_a_host_and_a_port_in_any_readable_member() {
      MessageMutator mutator = new MessageMutator(31);
      String text =
          Json.write(
              new MemberRecord(
                  SELF, MemberRole.SCHEDULER, "127.0.0.1:1", new ZoneName("lugu"), false));
      for (int i = 0; i < RECORDS; i++) {
        ifReadable(
            mutator.mutate(text),
            MemberRecord.class,
            member -> {
              assertThat(member.id()).isNotNull();
              assertThat(member.role()).isNotNull();
              assertThat(member.zone()).isNotNull();
              assertThat(member.address()).matches("[^/@\\s]+:[0-9]+");
            });
      }
    }

    @Test
    public void should_count_on_from_the_epoch_of_any_readable_planner() {
      MessageMutator mutator = new MessageMutator(32);
      String text = Json.write(new PlannerRecord(SELF, 7));
      for (int i = 0; i < RECORDS; i++) {
        ifReadable(
            mutator.mutate(text),
            PlannerRecord.class,
            planner -> {
              assertThat(planner.owner()).isNotNull();
              assertThat(planner.epoch() + 1).isPositive();
            });
      }
    }
  }
}
