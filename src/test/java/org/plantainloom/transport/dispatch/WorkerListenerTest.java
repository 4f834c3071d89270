package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainloom.coordination.dispatch.DispatchCommand;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.coordination.dispatch.FleetMember;
import org.plantainloom.coordination.dispatch.OwnershipLease;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.ClusterCodec;
import org.plantainloom.state.job.ClusterConfig;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.QueueConfig;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.job.WorkerSnapshot;
import org.plantainloom.state.store.StoreEvent;
import org.plantainloom.state.store.StoreItem;
import org.slf4j.LoggerFactory;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how entries that are not registrations of workers affect the workers in use. */
public class WorkerListenerTest {
  private static final String PREFIX = "w/";
  private static final String GOOD = "good";
  private static final String BAD = "bad";
  private static final String FATAL = "fatal";
  private static final String DRAINING = "draining";
  private static final long CLOCK_MS = 1_000;

  /** More than a line of the log may hold. */
  private static final int LONG_TEXT_CHARS = 10_000;

  /** By then a registration that expired during an outage of the store is back. */
  private static final long BEYOND_REREGISTRATION_MS = 3_000;

  /** Longer than the longest lease, and than the time until a takeover. */
  private static final long BEYOND_LEASE_MS = 10_000;

  private final List<String> log = new ArrayList<>();
  private OwnershipLease ownership;
  private Dispatcher dispatcher;
  private WorkerListener listener;

  /** Reads {@link #GOOD} as a registration and fails on {@link #FATAL}. */
  private static final class FakeCodec implements ClusterCodec {
    @Override
    public String operatorPrefix() {
      return "o/";
    }

    @Override
    public String workerPrefix() {
      return PREFIX;
    }

    @Override
    public Optional<ClusterConfig> config(String key, String text) {
      return Optional.empty();
    }

    @Override
    public Optional<String> withdrawnZone(String key) {
      return Optional.empty();
    }

    @Override
    public Optional<WorkerRegistration> worker(String key, String text) {
      if (text.equals(FATAL)) {
        throw new StackOverflowError("expected by the test");
      }
      return text.equals(GOOD) || text.equals(DRAINING)
          ? Optional.of(
              new WorkerRegistration(
                  workerId(key),
                  "service",
                  "10.0.0.1:1",
                  "zone",
                  text.equals(DRAINING),
                  new ResourceVector(8_000, 32_000, 0),
                  List.of(),
                  0,
                  CLOCK_MS))
          : Optional.empty();
    }

    @Override
    public String workerId(String key) {
      return key.substring(PREFIX.length());
    }
  }

  @BeforeMethod
  public void createListener() {
    log.clear();
    ownership = new OwnershipLease();
    dispatcher =
        new Dispatcher(
            1,
            DispatchPolicy.of(6_000, 400),
            ownership,
            (event, subject, detail) -> log.add(event + " " + subject),
            NodeContext.nowMs());
    dispatcher.configure(
        new ClusterConfig(
            1,
            List.of(new QueueConfig("queue", "h", "/q/", "service", 0, 3, 1.5, 300, 3_000, false)),
            List.of(),
            1_000),
        NodeContext.nowMs());
    listener = new WorkerListener(new FakeCodec(), dispatcher, () -> {});
  }

  private static StoreItem item(String id, String text) {
    return new StoreItem(PREFIX + id, text, 1);
  }

  private void change(String id, String text) {
    listener.onChange(new StoreEvent(PREFIX + id, Optional.of(text), 2));
  }

  /** Makes decisions while the store confirms the ownership, and the jobs are known. */
  private List<DispatchCommand> decide(long nowMs) {
    ownership.confirm(nowMs, 0);
    dispatcher.jobsKnownAsOf(nowMs, 0);
    return dispatcher.decide(nowMs, 0);
  }

  /** Lets all workers answer and be stored; returns those that are polled. */
  private List<String> pollWorkers() {
    List<String> polled = new ArrayList<>();
    long now = NodeContext.nowMs();
    for (DispatchCommand command : decide(now)) {
      if (command instanceof DispatchCommand.Poll poll) {
        polled.add(poll.worker().id());
        dispatcher.pollAnswered(
            poll.worker(),
            new PollReply.Answered(new WorkerSnapshot(CLOCK_MS, 1, List.of(), List.of())),
            now,
            now);
      }
    }
    dispatcher.unpersistedFleet().ifPresent(members -> dispatcher.fleetPersisted(members, false));
    return polled;
  }

  /** Submits a job of which each worker gets one task; returns the starts. */
  private List<DispatchCommand.Start> startTasks() {
    PhaseSpec phase =
        new PhaseSpec(
            4,
            new ResourceVector(4_000, 64, 0),
            100,
            List.of(),
            false,
            false,
            false,
            "",
            "",
            1,
            false,
            false,
            "",
            0,
            false,
            -1);
    dispatcher.jobSubmitted(
        new JobSpec("00000000000000aa", "queue", "", List.of(phase), 1, 0, 0, 0),
        NodeContext.nowMs());
    return decide(NodeContext.nowMs()).stream()
        .filter(DispatchCommand.Start.class::isInstance)
        .map(DispatchCommand.Start.class::cast)
        .toList();
  }

  private List<String> workersWithStarts() {
    return startTasks().stream().map(start -> start.worker().id()).toList();
  }

  @Test
  public void should_use_the_other_workers_of_a_snapshot_when_one_entry_fails() {
    // when
    listener.onSnapshot(List.of(item("a", GOOD), item("b", FATAL), item("c", GOOD)));
    // then
    assertThat(pollWorkers()).containsExactlyInAnyOrder("a", "c");
    assertThat(workersWithStarts()).containsExactlyInAnyOrder("a", "c");
  }

  @Test
  public void should_start_nothing_on_a_worker_whose_registration_becomes_unreadable() {
    // given
    listener.onSnapshot(List.of(item("a", GOOD), item("b", GOOD)));
    pollWorkers();
    // when
    change("a", BAD);
    // then: the worker may still run tasks, so that it is polled as before
    assertThat(pollWorkers()).contains("a");
    assertThat(workersWithStarts()).containsExactly("b");
  }

  @Test
  public void should_start_nothing_on_a_worker_whose_registration_fails_to_be_read() {
    // given
    listener.onSnapshot(List.of(item("a", GOOD), item("b", GOOD)));
    pollWorkers();
    // when: the store is listed again
    listener.onSnapshot(List.of(item("a", FATAL), item("b", GOOD)));
    // then
    assertThat(workersWithStarts()).containsExactly("b");
  }

  @Test
  public void should_use_a_worker_again_when_its_registration_is_readable_again() {
    // given
    listener.onSnapshot(List.of(item("a", GOOD)));
    pollWorkers();
    change("a", BAD);
    // when
    change("a", GOOD);
    // then
    assertThat(workersWithStarts()).containsExactly("a");
  }

  @Test
  public void should_wait_for_the_lease_of_a_draining_worker_whose_registration_is_unreadable() {
    // given
    listener.onSnapshot(List.of(item("a", GOOD)));
    pollWorkers();
    DispatchCommand.Start start = startTasks().get(0);
    long now = NodeContext.nowMs();
    dispatcher.startAnswered(start, CommandReply.OK, now);
    change("a", DRAINING);
    // when
    change("a", BAD);
    dispatcher.pollAnswered(start.worker(), new PollReply.Unavailable("cut off"), now, now);
    decide(now + BEYOND_REREGISTRATION_MS);
    // then
    assertThat(log).contains("worker-silent a").doesNotContain("worker-lost a");
    decide(now + BEYOND_LEASE_MS);
    assertThat(log).contains("worker-lost a");
  }

  @Test
  public void should_keep_an_inherited_draining_worker_whose_registration_is_unreadable() {
    // given
    WorkerRegistration draining = new FakeCodec().worker(PREFIX + "a", DRAINING).orElseThrow();
    long now = NodeContext.nowMs();
    dispatcher.workerInherited(new FleetMember(draining, Optional.empty()), now);
    // when
    listener.onSnapshot(List.of(item("a", BAD)));
    dispatcher.pollAnswered(draining, new PollReply.Unavailable("cut off"), now, now);
    decide(now + BEYOND_REREGISTRATION_MS);
    // then
    assertThat(log).contains("worker-silent a").doesNotContain("worker-forgotten a");
    decide(now + BEYOND_LEASE_MS);
    assertThat(log).contains("worker-forgotten a");
  }

  /** The other system may write its entry as often as a worker its heartbeat. */
  @Test
  public void should_log_an_unreadable_registration_once_until_it_changes_back_or_is_removed() {
    // given
    Logger logger = (Logger) LoggerFactory.getLogger(WorkerListener.class);
    ListAppender<ILoggingEvent> lines = new ListAppender<>();
    lines.start();
    logger.addAppender(lines);
    try {
      // when
      change("odd\nevent=stopped", BAD);
      change("odd\nevent=stopped", BAD + "x".repeat(LONG_TEXT_CHARS));
      change("odd\nevent=stopped", FATAL);
      listener.onSnapshot(List.of(item("odd\nevent=stopped", BAD), item("a", BAD)));
      // then
      assertThat(lines.list).hasSize(2);
      change("a", GOOD);
      change("a", "x".repeat(LONG_TEXT_CHARS));
      listener.onChange(new StoreEvent(PREFIX + "a", Optional.empty(), 3));
      change("a", BAD);
      assertThat(lines.list).hasSize(4);
      assertThat(lines.list)
          .extracting(ILoggingEvent::getFormattedMessage)
          .allMatch(line -> line.length() < LONG_TEXT_CHARS && !line.contains("\n"));
    } finally {
      logger.detachAppender(lines);
    }
  }
}
