package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.Server;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.state.job.StartTaskCommand;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.state.store.Transaction;
import org.plantainloom.support.MessageMutator;
import org.plantainloom.support.Servers;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Feeds damaged messages to each decoder; seeds are fixed, so each run sees the same messages. */
public class MalformedMessageTest {
  private static final int MESSAGES = 4_000;
  private static final int REPLIES = 250;
  private static final int MAX_TASKS_OF_A_JOB = 20_000;
  private static final long NOW_MS = 1_700_000_000_000L;

  private static final String JOB =
      "{\"spec\":\"s\",\"phases\":[{\"count\":3,\"cpu\":500,\"mem-mb\":64,\"estimate-ms\":900},"
          + "{\"count\":2,\"cpu\":500,\"after\":[0],\"image\":\"i\",\"target-ms\":18,"
          + "\"utilization\":true,\"anti-affinity\":1,\"miss-allowed\":1}],"
          + "\"start-at-ms\":1700000000000,\"period-ms\":2000,\"repeat-count\":8}";

  private static final String WORKER =
      "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
          + "\"capacity\":{\"cpu\":32000,\"mem-mb\":128000,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
          + "\"born\":7,\"server-time-ms\":9}";

  private static final String CONFIG =
      "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/q/\","
          + "\"service\":\"s\",\"priority\":1,\"max-attempts\":3,\"stretch-factor\":1.5,"
          + "\"target-duration-ms\":300,\"timeout-ms\":3000}],\"services\":[{\"name\":\"s\"}],"
          + "\"limits\":{\"max-body-bytes\":262144}}";

  private static final String POLL_REPLY =
      "{\"server-time-ms\":482113,\"born\":7,"
          + "\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb87a21d94b\",41,900]],"
          + "\"finished\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}";

  private static final String STORE_REPLY =
      "{\"at\":9,\"revision\":9,\"lease-id\":3,\"ttl-ms\":3000,\"has-more\":true,"
          + "\"key\":\"k\",\"value\":\"e30=\","
          + "\"items\":[{\"key\":\"k\",\"value\":\"e30=\",\"revision\":4}],"
          + "\"events\":[{\"key\":\"k\",\"value\":\"e30=\",\"revision\":5}]}";

  /** Decoders of what callers, operators and workers write. */
  public static class Decoders {
    @Test
    public void should_reject_or_read_any_job_without_an_error() {
      // given
      MessageMutator mutator = new MessageMutator(1);
      for (int i = 0; i < MESSAGES; i++) {
        String text = mutator.mutate(JOB);
        // when
        Optional<JobSpec> job = JobJson.job("00000000000000aa", "q", text, NOW_MS);
        // then
        job.ifPresent(spec -> assertUsable(spec, text));
      }
    }

    /** No job may take more memory than an owner has, or reserve less than nothing. */
    private static void assertUsable(JobSpec spec, String text) {
      long tasks = spec.phases().stream().mapToLong(PhaseSpec::count).sum() * spec.occurrences();
      assertThat(tasks).as(text).isBetween(1L, (long) MAX_TASKS_OF_A_JOB);
      assertThat(spec.phases()).as(text).allMatch(phase -> phase.need().isNonNegative());
      assertThat(spec.phases()).as(text).allMatch(phase -> phase.estimateMs() >= 0);
      for (int occurrence = 1; occurrence < spec.occurrences(); occurrence++) {
        assertThat(spec.dueMs(occurrence)).as(text).isGreaterThanOrEqualTo(spec.dueMs(0));
      }
    }

    @Test
    public void should_reject_a_job_that_is_repeated_too_often_to_be_held_in_memory() {
      // given
      String text = JOB.replace("\"repeat-count\":8", "\"repeat-count\":2147483647");
      // then
      assertThat(JobJson.job("00000000000000aa", "q", text, NOW_MS)).isEmpty();
    }

    @Test
    public void should_reject_a_job_that_needs_less_than_nothing() {
      // given: its reservation would make room on a worker that has none
      String text = JOB.replace("\"cpu\":500", "\"cpu\":-500");
      // then
      assertThat(JobJson.job("00000000000000aa", "q", text, NOW_MS)).isEmpty();
    }

    @Test
    public void should_ignore_or_read_any_registration_without_an_error() {
      // given
      MessageMutator mutator = new MessageMutator(2);
      for (int i = 0; i < MESSAGES; i++) {
        String text = mutator.mutate(WORKER);
        // when
        Optional<WorkerRegistration> worker = new PlatformCodec().worker("servers/w", text);
        // then
        assertThat(worker.map(WorkerRegistration::capacity).filter(c -> !c.isNonNegative()))
            .as(text)
            .isEmpty();
      }
    }

    @Test
    public void should_ignore_or_read_any_configuration_without_an_error() {
      // given
      MessageMutator mutator = new MessageMutator(3);
      for (int i = 0; i < MESSAGES; i++) {
        // when
        new PlatformCodec().config("op/config", mutator.mutate(CONFIG));
      }
      // then: no error
    }
  }

  /** Replies of workers and of the store: each call ends with a result, never with an error. */
  public static class Replies {
    private static final WorkerRegistration NO_WORKER =
        new WorkerRegistration("w", "s", "", "z", false, ResourceVector.ZERO, List.of(), 0, 0);

    @DataProvider
    public static Object[][] statuses() {
      return new Object[][] {{200}, {409}, {412}};
    }

    @Test(dataProvider = "statuses")
    public void should_end_each_call_with_a_result(int status) {
      MessageMutator mutator = new MessageMutator(4);
      try (PlatformHttpClient client = new PlatformHttpClient();
          DamagedServer server = new DamagedServer(status, mutator)) {
        PlatformWorkers workers = new PlatformWorkers(client);
        PlatformStore store = new PlatformStore(client, server.address());
        WorkerRegistration worker =
            new WorkerRegistration(
                NO_WORKER.id(),
                NO_WORKER.service(),
                server.address(),
                NO_WORKER.zone(),
                false,
                NO_WORKER.capacity(),
                NO_WORKER.labels(),
                0,
                0);
        TaskKey task = new TaskKey("00000000000000aa", 0, 0, 0);
        for (int i = 0; i < REPLIES; i++) {
          // when
          List<CompletableFuture<?>> calls =
              List.of(
                  workers.poll(worker, Optional.empty(), 0, 0, 1),
                  workers.start(worker, new StartTaskCommand(task, 1, "", "", ""), 0, 1),
                  store.read("k"),
                  store.list("k"),
                  store.watch("k", 1, 0),
                  store.grantLease(3_000),
                  store.commit(Transaction.start().write("k", "v")));
          // then
          calls.forEach(call -> assertThat(call.join()).isNotNull());
        }
      }
    }
  }

  /** Answers each request with a damaged reply. */
  private static final class DamagedServer implements AutoCloseable {
    private final Server server;

    DamagedServer(int status, MessageMutator mutator) {
      this.server =
          Server.builder()
              .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .meterRegistry(NoopMeterRegistry.get())
              .gracefulShutdownTimeoutMillis(0, 0)
              .serviceUnder(
                  "/",
                  (ctx, request) ->
                      HttpResponse.of(
                          HttpStatus.valueOf(status), MediaType.JSON, reply(ctx.path(), mutator)))
              .build();
      server.start().join();
    }

    private static String reply(String path, MessageMutator mutator) {
      synchronized (mutator) {
        return mutator.mutate(path.startsWith("/-/kv") ? STORE_REPLY : POLL_REPLY);
      }
    }

    String address() {
      return "127.0.0.1:" + server.activeLocalPort();
    }

    @Override
    public void close() {
      Servers.stopInBackground(server);
    }
  }
}
