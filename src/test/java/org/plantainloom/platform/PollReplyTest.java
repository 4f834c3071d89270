package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.Server;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.ActiveRun;
import org.plantainloom.state.job.EndedRun;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.WorkerRegistration;
import org.plantainloom.support.Servers;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a poll reply with impossible numbers counts as no reply. Cut off, they would tell of a
 * restart that never took place, or of ends that hide all later ones.
 */
public class PollReplyTest {
  private static final String REPLY =
      "{\"server-time-ms\":482113,\"born\":7,"
          + "\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"00000bb87a21d94b\",41,900.5]],"
          + "\"finished\":[[58,\"5c0e7a21d94b36f8.0.1.9\",3,\"done\",\"\"]]}";

  private final AtomicReference<String> body = new AtomicReference<>(REPLY);
  private Server server;
  private PlatformHttpClient client;

  /** Starts a worker that answers each poll with {@link #body}. */
  @BeforeClass
  public void start() {
    server =
        Server.builder()
            .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .meterRegistry(NoopMeterRegistry.get())
            .gracefulShutdownTimeoutMillis(0, 0)
            .serviceUnder(
                "/", (ctx, request) -> HttpResponse.of(HttpStatus.OK, MediaType.JSON, body.get()))
            .build();
    server.start().join();
    client = new PlatformHttpClient();
  }

  @AfterClass
  public void stop() {
    client.close();
    Servers.stopInBackground(server);
  }

  private PollReply poll(String reply) {
    body.set(reply);
    String address = "127.0.0.1:" + server.activeLocalPort();
    WorkerRegistration worker =
        new WorkerRegistration("w", "s", address, "z", false, ResourceVector.ZERO, List.of(), 0, 0);
    return new PlatformWorkers(client).poll(worker, Optional.empty(), 0, 0, 1).join();
  }

  @Test
  public void should_read_runs_and_ends() {
    // when
    PollReply reply = poll(REPLY);
    // then
    assertThat(reply).isInstanceOf(PollReply.Answered.class);
    PollReply.Answered answered = (PollReply.Answered) reply;
    assertThat(answered.snapshot().startedAtMs()).isEqualTo(7);
    assertThat(answered.snapshot().running()).extracting(ActiveRun::run).containsExactly(2L);
    assertThat(answered.snapshot().ended())
        .extracting(EndedRun::sequenceNumber, EndedRun::run)
        .containsExactly(tuple(58L, 3L));
  }

  @Test
  public void should_not_read_a_reply_with_an_unreadable_row() {
    assertUnavailable(REPLY.replace("\"done\"", "\"finished\""));
    assertUnavailable(REPLY.replace("94b36f8.0.1.9\"", "94b36f8.0.1\""));
    assertUnavailable(REPLY.replace("94b36f8.0.1.17\"", "94b36f8.0.1\""));
  }

  @Test
  public void should_tell_whether_the_list_of_ends_may_be_cut_off() {
    assertThat(listsAllEnds(PlatformWorkers.MAX_LISTED_ENDS - 1)).isTrue();
    assertThat(listsAllEnds(PlatformWorkers.MAX_LISTED_ENDS)).isFalse();
  }

  private boolean listsAllEnds(int count) {
    String rows =
        IntStream.rangeClosed(1, count)
            .mapToObj(number -> "[" + number + ",\"5c0e7a21d94b36f8.0.1.9\",3,\"done\",\"\"]")
            .collect(Collectors.joining(","));
    PollReply reply = poll("{\"server-time-ms\":1,\"born\":7,\"finished\":[" + rows + "]}");
    return ((PollReply.Answered) reply).snapshot().listsAllEnds();
  }

  @DataProvider
  public static Object[][] impossibleNumbers() {
    return new Object[][] {
      {"1e400"}, {"18446744073709551623"}, {"9223372036854775807"}, {"-1"}, {"\"7\""}, {"null"}
    };
  }

  @Test(dataProvider = "impossibleNumbers")
  public void should_not_read_a_reply_with_an_impossible_number(String number) {
    assertUnavailable(REPLY.replace(":482113", ":" + number));
    assertUnavailable(REPLY.replace(":7,", ":" + number + ","));
    assertUnavailable(REPLY.replace(".17\",2,", ".17\"," + number + ","));
    assertUnavailable(REPLY.replace("[[58,", "[[" + number + ","));
    assertUnavailable(REPLY.replace(".9\",3,", ".9\"," + number + ","));
  }

  private void assertUnavailable(String reply) {
    assertThat(reply).isNotEqualTo(REPLY);
    assertThat(poll(reply)).as(reply).isInstanceOf(PollReply.Unavailable.class);
  }
}
