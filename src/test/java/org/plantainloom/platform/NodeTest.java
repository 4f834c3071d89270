package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.Server;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.state.job.TaskWorkers;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.support.Servers;
import org.plantainloom.transport.dispatch.Node;
import org.plantainloom.transport.dispatch.NodeContext;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests whole nodes against the simulated platform. */
public class NodeTest {
  private static final String JOB_ID = "00000000000000aa";
  private static final String TWO_PHASE_JOB =
      "{\"spec\":\"text\",\"phases\":[{\"count\":3,\"cpu\":500,\"mem-mb\":64},"
          + "{\"count\":2,\"cpu\":500,\"mem-mb\":64,\"after\":[0]}]}";
  private static final String LONG_RUNNING_JOB =
      "{\"spec\":\"serve\",\"phases\":[{\"count\":3,\"cpu\":500,\"long-running\":true}]}";

  /** Limit of each wait; no test asserts how long a wait takes. */
  private static final long AWAIT_TIMEOUT_MS = 30_000;

  private static final long POLL_MS = 20;
  private static final long TASK_MS = 50;
  private static final int FOREIGN_ENTRIES = 8;

  /** Far more levels than a recursive reader survives. */
  private static final int FOREIGN_DEPTH = 50_000;

  /** Nearly as many as fit into the largest value that the store accepts. */
  private static final int FOREIGN_ELEMENTS = 340_000;

  private final List<AutoCloseable> resources = new ArrayList<>();
  private SimulatedPlatform platform;

  private WebClient startNode(String name) {
    return startNode(name, UnaryOperator.identity());
  }

  private WebClient startNode(String name, UnaryOperator<TaskWorkers> decorator) {
    PlatformHttpClient client = new PlatformHttpClient();
    Node node =
        Node.start(
            new NodeContext(
                name,
                "127.0.0.1:1",
                1,
                new PlatformStore(client, platform.storeAddress()),
                decorator.apply(new PlatformWorkers(client)),
                new PlatformOwnerPeers(client),
                new PlatformCodec(),
                DispatchPolicy.of(6_000, 400),
                new MetricRegistry(),
                NodeContext.nowMs()));
    Server server =
        Server.builder()
            .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .meterRegistry(NoopMeterRegistry.get())
            .gracefulShutdownTimeoutMillis(0, 0)
            .serviceUnder("/", new JobHttpService(node, client))
            .build();
    server.start().join();
    resources.add(0, client);
    resources.add(0, node);
    resources.add(0, () -> Servers.stopInBackground(server));
    return WebClient.of("h1c://127.0.0.1:" + server.activeLocalPort());
  }

  private void startPlatform() {
    platform = SimulatedPlatform.start(3, TASK_MS);
    resources.add(platform);
  }

  /** Stops nodes before their clients, and the platform last. */
  @AfterMethod
  public void close() throws Exception {
    for (AutoCloseable resource : resources) {
      resource.close();
    }
    resources.clear();
  }

  private static AggregatedHttpResponse send(
      WebClient client, HttpMethod method, String path, String body) {
    RequestHeaders headers =
        RequestHeaders.builder(method, path)
            .contentType(MediaType.JSON)
            .set(HttpHeaderNames.HOST, SimulatedPlatform.QUEUE_HOST)
            .build();
    return client.execute(headers, body).aggregate().join();
  }

  private static AggregatedHttpResponse send(WebClient client, HttpMethod method, String body) {
    return send(client, method, SimulatedPlatform.JOB_PATH_PREFIX + JOB_ID, body);
  }

  private static int status(WebClient client, HttpMethod method, String body) {
    return send(client, method, body).status().code();
  }

  private static String state(WebClient client) {
    return send(client, HttpMethod.GET, "").contentUtf8();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineMs = System.nanoTime() / 1_000_000 + AWAIT_TIMEOUT_MS;
    while (!condition.getAsBoolean() && System.nanoTime() / 1_000_000 < deadlineMs) {
      Thread.sleep(POLL_MS);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private static void submit(WebClient client, String job) throws InterruptedException {
    await(() -> status(client, HttpMethod.POST, job) == 200);
  }

  @Test
  public void should_complete_an_accepted_job() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = startNode("a");
    // when
    submit(client, TWO_PHASE_JOB);
    // then
    await(() -> state(client).contains("completed"));
    assertThat(platform.statistics().completedTasks()).isEqualTo(5);
    assertThat(platform.statistics().startsAfterCompletion()).isZero();
  }

  @Test
  public void should_treat_the_same_id_on_two_nodes_as_one_job() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient first = startNode("a");
    WebClient second = startNode("b");
    // when
    submit(first, TWO_PHASE_JOB);
    submit(second, TWO_PHASE_JOB);
    // then
    await(() -> state(second).contains("completed"));
    assertThat(status(first, HttpMethod.POST, TWO_PHASE_JOB)).isEqualTo(200);
    assertThat(platform.statistics().starts()).isEqualTo(5);
  }

  @Test
  public void should_return_503_without_a_configuration_and_reject_invalid_requests_with_one()
      throws Exception {
    // given
    startPlatform();
    WebClient client = startNode("a");
    assertThat(status(client, HttpMethod.POST, TWO_PHASE_JOB)).isEqualTo(503);
    // when
    platform.configure(1);
    submit(client, TWO_PHASE_JOB);
    // then
    assertThat(send(client, HttpMethod.POST, "/other/" + JOB_ID, TWO_PHASE_JOB).status().code())
        .isEqualTo(404);
    assertThat(status(client, HttpMethod.POST, "{}")).isEqualTo(400);
    assertThat(status(client, HttpMethod.POST, "x".repeat(30_000))).isEqualTo(413);
  }

  @Test
  public void should_return_410_for_an_unknown_job() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = startNode("a");
    // then
    await(() -> status(client, HttpMethod.GET, "") == 410);
    assertThat(status(client, HttpMethod.DELETE, "")).isEqualTo(410);
  }

  @Test
  public void should_stop_the_tasks_of_a_cancelled_job() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = startNode("a");
    submit(client, LONG_RUNNING_JOB);
    await(() -> platform.statistics().runningTasks() == 3);
    // when
    assertThat(status(client, HttpMethod.DELETE, "")).isEqualTo(200);
    // then
    await(() -> platform.statistics().runningTasks() == 0);
    await(() -> state(client).contains("cancelled"));
  }

  @Test
  public void should_accept_a_job_when_the_response_of_the_store_is_lost() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = startNode("a");
    submit(client, LONG_RUNNING_JOB);
    await(() -> platform.statistics().runningTasks() == 3);
    // when: the store commits the next transaction without a response
    platform.dropResponses(1);
    String path = SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000bb";
    int response = send(client, HttpMethod.POST, path, TWO_PHASE_JOB).status().code();
    // then
    assertThat(response).isEqualTo(200);
    await(() -> send(client, HttpMethod.GET, path, "").contentUtf8().contains("completed"));
    assertThat(platform.statistics().startsAfterCompletion()).isZero();
  }

  @Test
  public void should_return_503_and_store_nothing_while_the_store_is_unavailable()
      throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = startNode("a");
    submit(client, LONG_RUNNING_JOB);
    // when
    platform.setStoreDown(true);
    AggregatedHttpResponse response =
        send(
            client,
            HttpMethod.POST,
            SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000bb",
            TWO_PHASE_JOB);
    // then
    assertThat(response.status().code()).isEqualTo(503);
    assertThat(response.headers().contains(HttpHeaderNames.RETRY_AFTER)).isTrue();
    platform.setStoreDown(false);
    await(() -> state(client).contains("state"));
    assertThat(platform.storedValue("pl/job/00000000000000bb")).isEmpty();
  }

  @Test
  public void should_refuse_requests_at_once_while_the_store_is_silent() throws Exception {
    // given: the store answers later than any call waits for it
    startPlatform();
    platform.configure(1);
    WebClient client = startNode("a");
    submit(client, LONG_RUNNING_JOB);
    platform.setStoreDelay(AWAIT_TIMEOUT_MS);
    String path = SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000bb";
    // when: the first request finds out; its fate is unknown
    int first = send(client, HttpMethod.POST, path, TWO_PHASE_JOB).status().code();
    // then: the next ones are refused as not run, without a call
    assertThat(first).isEqualTo(504);
    assertThat(send(client, HttpMethod.POST, path, TWO_PHASE_JOB).status().code()).isEqualTo(503);
    platform.setStoreDelay(0);
    await(() -> send(client, HttpMethod.POST, path, TWO_PHASE_JOB).status().code() == 200);
  }

  @Test
  public void should_follow_changes_after_the_store_dropped_its_history() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = startNode("a");
    submit(client, TWO_PHASE_JOB);
    // when
    platform.dropHistory();
    platform.setZoneWithdrawn("zone-1", true);
    String path = SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000bb";
    await(() -> send(client, HttpMethod.POST, path, TWO_PHASE_JOB).status().code() == 200);
    platform.setZoneWithdrawn("zone-1", false);
    // then
    await(() -> send(client, HttpMethod.GET, path, "").contentUtf8().contains("completed"));
  }

  @Test
  public void should_not_start_running_tasks_again_when_the_owner_is_gone() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient first = startNode("a");
    submit(first, LONG_RUNNING_JOB);
    await(() -> platform.statistics().runningTasks() == 3);
    WebClient second = startNode("b");
    // when: the first node stops without resigning; entries 5 and 4 are its client and itself
    resources.remove(5).close();
    resources.remove(4).close();
    // then
    submit(second, LONG_RUNNING_JOB);
    String path = SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000bb";
    await(() -> send(second, HttpMethod.POST, path, TWO_PHASE_JOB).status().code() == 200);
    await(() -> send(second, HttpMethod.GET, path, "").contentUtf8().contains("completed"));
    assertThat(platform.statistics().overlaps()).isZero();
    assertThat(platform.statistics().runningTasks()).isEqualTo(3);
  }

  /** Addresses for which the HTTP client cannot create a request, or cannot connect. */
  @DataProvider
  public static Object[][] unusableAddresses() {
    return new Object[][] {{"10.0.0.1:99999"}, {"10.0.0.1:-1"}, {":1"}, {"a b:1"}, {"256.1.1.1:1"}};
  }

  @Test(dataProvider = "unusableAddresses")
  public void should_run_tasks_on_the_other_workers_when_an_address_is_unusable(String address)
      throws Exception {
    // given: as many entries as it takes for some to be handled before the other workers
    startPlatform();
    platform.configure(1);
    for (int i = 0; i < FOREIGN_ENTRIES; i++) {
      platform.putWorkerEntry("odd-" + i, foreignEntry(address));
    }
    WebClient client = startNode("a");
    // when
    submit(client, LONG_RUNNING_JOB);
    // then
    await(() -> platform.statistics().runningTasks() == 3);
    String path = SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000bb";
    await(() -> send(client, HttpMethod.POST, path, TWO_PHASE_JOB).status().code() == 200);
    await(() -> send(client, HttpMethod.GET, path, "").contentUtf8().contains("completed"));
    assertThat(platform.statistics().overlaps()).isZero();
  }

  private static String foreignEntry(String address) {
    return "{\"service\":\"service\",\"address\":\""
        + address
        + "\",\"zone\":\"zone-1\",\"state\":\"ready\",\"labels\":[\"a\",\"r1\"],"
        + "\"capacity\":{\"cpu\":8000,\"mem-mb\":32000,\"gpu\":0}}";
  }

  @Test
  public void should_run_tasks_on_the_other_workers_beside_entries_of_any_kind() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    String valid = foreignEntry("127.0.0.1:1");
    String nested = "[".repeat(FOREIGN_DEPTH) + "]".repeat(FOREIGN_DEPTH);
    List<String> entries =
        List.of(
            "",
            "null",
            "{}",
            "\u0000",
            valid.substring(0, valid.length() / 2),
            valid.replace("\"ready\"", "\"odd\""),
            valid.replace(":8000", ":1e400"),
            valid.replace(":8000", ":18446744073709559616"),
            valid.replace(":8000", ":" + nested),
            valid.replace("[\"a\",\"r1\"]", nested),
            valid.replace("{\"service\"", "{\"server-time-ms\":9223372036854775807,\"service\""),
            "{\"x\":[" + "{},".repeat(FOREIGN_ELEMENTS) + "{}]," + valid.substring(1));
    for (int i = 0; i < entries.size(); i++) {
      platform.putWorkerEntry("odd-" + i, entries.get(i));
    }
    platform.putWorkerEntry("", valid);
    platform.putWorkerEntry("a\nb", valid);
    WebClient client = startNode("a");
    // when
    submit(client, LONG_RUNNING_JOB);
    // then
    await(() -> platform.statistics().runningTasks() == 3);
    String path = SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000bb";
    await(() -> send(client, HttpMethod.POST, path, TWO_PHASE_JOB).status().code() == 200);
    await(() -> send(client, HttpMethod.GET, path, "").contentUtf8().contains("completed"));
    assertThat(platform.statistics().overlaps()).isZero();
  }

  @DataProvider
  public static Object[][] workerIds() {
    return new Object[][] {{"i-0"}, {"i-1"}, {"i-2"}};
  }

  @Test(dataProvider = "workerIds")
  public void should_run_tasks_on_the_other_workers_when_no_command_to_one_can_be_sent(String id)
      throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = startNode("a", workers -> failingFor(id, workers));
    // when
    submit(client, TWO_PHASE_JOB);
    // then
    await(() -> state(client).contains("completed"));
  }

  /** Throws on each command to one worker, as a fault of the client would. */
  private static TaskWorkers failingFor(String workerId, TaskWorkers workers) {
    InvocationHandler handler =
        (proxy, method, arguments) -> {
          if (arguments[0] instanceof WorkerRegistration worker && worker.id().equals(workerId)) {
            throw new IllegalArgumentException("expected by the test");
          }
          return method.invoke(workers, arguments);
        };
    return (TaskWorkers)
        Proxy.newProxyInstance(
            NodeTest.class.getClassLoader(), new Class<?>[] {TaskWorkers.class}, handler);
  }
}
