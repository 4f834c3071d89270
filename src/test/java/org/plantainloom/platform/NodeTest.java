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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.transport.dispatch.Node;
import org.plantainloom.transport.dispatch.NodeContext;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Whole nodes against the stand-in of the platform. */
public class NodeTest {
  private static final String ID = "00000000000000aa";
  private static final String JOB =
      "{\"spec\":\"text\",\"phases\":[{\"count\":3,\"cpu\":500,\"mem-mb\":64},"
          + "{\"count\":2,\"cpu\":500,\"mem-mb\":64,\"after\":[0]}]}";
  private static final String SERVING =
      "{\"spec\":\"serve\",\"phases\":[{\"count\":3,\"cpu\":500,\"long-running\":true}]}";

  /** Bound of the waiting in tests; nothing is asserted about how long it took. */
  private static final long PATIENCE_MS = 30_000;

  private static final long POLL_MS = 20;
  private static final long TASK_MS = 50;

  private final List<AutoCloseable> open = new ArrayList<>();
  private SimulatedPlatform platform;

  private WebClient node(String name) {
    PlatformHttpClient client = new PlatformHttpClient();
    Node node =
        Node.start(
            new NodeContext(
                name,
                "127.0.0.1:1",
                new PlatformStore(client, platform.storeAddress()),
                new PlatformWorkers(client),
                new PlatformCodec(),
                DispatchPolicy.of(6_000, 400),
                new MetricRegistry()));
    Server server =
        Server.builder()
            .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .meterRegistry(NoopMeterRegistry.get())
            .gracefulShutdownTimeoutMillis(0, 0)
            .serviceUnder("/", new JobHttpService(node, client))
            .build();
    server.start().join();
    open.add(0, client);
    open.add(0, node);
    open.add(0, () -> server.stop().join());
    return WebClient.of("h1c://127.0.0.1:" + server.activeLocalPort());
  }

  private void startPlatform() {
    platform = SimulatedPlatform.start(3, TASK_MS);
    open.add(platform);
  }

  /** Stops nodes before their clients, and the platform last. */
  @AfterMethod
  public void close() throws Exception {
    for (AutoCloseable part : open) {
      part.close();
    }
    open.clear();
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
    return send(client, method, SimulatedPlatform.JOB_PATH_PREFIX + ID, body);
  }

  private static int status(WebClient client, HttpMethod method, String body) {
    return send(client, method, body).status().code();
  }

  private static String state(WebClient client) {
    return send(client, HttpMethod.GET, "").contentUtf8();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() / 1_000_000 + PATIENCE_MS;
    while (!condition.getAsBoolean() && System.nanoTime() / 1_000_000 < end) {
      Thread.sleep(POLL_MS);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private static void submit(WebClient client, String job) throws InterruptedException {
    await(() -> status(client, HttpMethod.POST, job) == 200);
  }

  @Test
  public void should_run_an_accepted_job_to_its_end() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = node("a");
    // when
    submit(client, JOB);
    // then
    await(() -> state(client).contains("completed"));
    assertThat(platform.statistics().completedTasks()).isEqualTo(5);
    assertThat(platform.statistics().startsAfterCompletion()).isZero();
  }

  @Test
  public void should_take_the_same_id_at_two_nodes_as_one_job() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient first = node("a");
    WebClient second = node("b");
    // when
    submit(first, JOB);
    submit(second, JOB);
    // then
    await(() -> state(second).contains("completed"));
    assertThat(status(first, HttpMethod.POST, JOB)).isEqualTo(200);
    assertThat(platform.statistics().starts()).isEqualTo(5);
  }

  @Test
  public void should_refuse_before_a_configuration_and_unknown_paths_after() throws Exception {
    // given
    startPlatform();
    WebClient client = node("a");
    assertThat(status(client, HttpMethod.POST, JOB)).isEqualTo(503);
    // when
    platform.configure(1);
    submit(client, JOB);
    // then
    assertThat(send(client, HttpMethod.POST, "/other/" + ID, JOB).status().code()).isEqualTo(404);
    assertThat(status(client, HttpMethod.POST, "{}")).isEqualTo(400);
    assertThat(status(client, HttpMethod.POST, "x".repeat(30_000))).isEqualTo(413);
  }

  @Test
  public void should_tell_that_an_unknown_job_does_not_exist() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = node("a");
    // then
    await(() -> status(client, HttpMethod.GET, "") == 410);
    assertThat(status(client, HttpMethod.DELETE, "")).isEqualTo(410);
  }

  @Test
  public void should_stop_the_tasks_of_a_cancelled_job() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = node("a");
    submit(client, SERVING);
    await(() -> platform.statistics().runningTasks() == 3);
    // when
    assertThat(status(client, HttpMethod.DELETE, "")).isEqualTo(200);
    // then
    await(() -> platform.statistics().runningTasks() == 0);
    await(() -> state(client).contains("cancelled"));
  }

  @Test
  public void should_accept_a_job_whose_answer_from_the_store_was_lost() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = node("a");
    submit(client, SERVING);
    await(() -> platform.statistics().runningTasks() == 3);
    // when: what is written next is carried out and not answered
    platform.dropResponses(1);
    String path = SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000bb";
    int answer = send(client, HttpMethod.POST, path, JOB).status().code();
    // then
    assertThat(answer).isEqualTo(200);
    await(() -> send(client, HttpMethod.GET, path, "").contentUtf8().contains("completed"));
    assertThat(platform.statistics().startsAfterCompletion()).isZero();
  }

  @Test
  public void should_refuse_as_not_run_while_the_store_refuses() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = node("a");
    submit(client, SERVING);
    // when
    platform.setStoreDown(true);
    AggregatedHttpResponse answer =
        send(client, HttpMethod.POST, SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000bb", JOB);
    // then
    assertThat(answer.status().code()).isEqualTo(503);
    assertThat(answer.headers().contains(HttpHeaderNames.RETRY_AFTER)).isTrue();
    platform.setStoreDown(false);
    await(() -> state(client).contains("state"));
    assertThat(platform.storedValue("pl/job/00000000000000bb")).isEmpty();
  }

  @Test
  public void should_follow_a_change_after_the_store_lost_its_history() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient client = node("a");
    submit(client, JOB);
    // when
    platform.dropHistory();
    platform.setZoneWithdrawn("zone-1", true);
    String path = SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000bb";
    await(() -> send(client, HttpMethod.POST, path, JOB).status().code() == 200);
    platform.setZoneWithdrawn("zone-1", false);
    // then
    await(() -> send(client, HttpMethod.GET, path, "").contentUtf8().contains("completed"));
  }

  @Test
  public void should_start_nothing_twice_when_the_owner_is_gone() throws Exception {
    // given
    startPlatform();
    platform.configure(1);
    WebClient first = node("a");
    submit(first, SERVING);
    await(() -> platform.statistics().runningTasks() == 3);
    WebClient second = node("b");
    // when: the first node stops without handing over; its parts head the list after the second's
    open.remove(5).close();
    open.remove(4).close();
    // then
    submit(second, SERVING);
    String path = SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000bb";
    await(() -> send(second, HttpMethod.POST, path, JOB).status().code() == 200);
    await(() -> send(second, HttpMethod.GET, path, "").contentUtf8().contains("completed"));
    assertThat(platform.statistics().overlaps()).isZero();
    assertThat(platform.statistics().runningTasks()).isEqualTo(3);
  }
}
