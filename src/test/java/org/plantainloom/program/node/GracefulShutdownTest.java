package org.plantainloom.program.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.plantainloom.platform.NodeSettings;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.protocol.document.DocumentReader;
import org.testng.annotations.Test;

/** A planned stop cuts off nothing, also when a part of the node is too busy to answer. */
public class GracefulShutdownTest {
  private static final long TASK_MS = 50;
  private static final long SLOW_STORE_MS = 900;
  private static final long POLL_MS = 20;
  private static final int MOST_POLLS = 1_500;

  /** The order of the steps. */
  public static class Steps {
    @Test
    public void should_take_the_steps_after_one_that_was_not_done_in_time() {
      // given
      List<String> taken = new ArrayList<>();
      // when
      GracefulShutdown.of("node")
          .step("keep progress", () -> taken.add("keep"))
          .step(
              "hand over",
              () -> {
                throw new TimeoutException("busy");
              })
          .step("finish requests", () -> taken.add("finish"))
          .run();
      // then
      assertThat(taken).containsExactly("keep", "finish");
    }
  }

  /** A whole node. */
  public static class WholeNode {
    @Test
    public void should_answer_a_request_that_is_being_served_when_the_server_stops()
        throws Exception {
      try (SimulatedPlatform platform = SimulatedPlatform.start(1, TASK_MS)) {
        // given: a submission that waits for a slow store when connections begin to close
        platform.configure(1);
        String callers = "127.0.0.1:" + freePort();
        NodeProcess node = NodeProcess.start(settings(platform, callers));
        WebClient client = WebClient.of("h1c://" + callers);
        awaitAccepted(client);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(node::stop);
        platform.setStoreDelay(SLOW_STORE_MS);
        List<CompletableFuture<AggregatedHttpResponse>> answers = new ArrayList<>();
        // when: one request after the other on open connections until the node is gone
        while (!stopped.isDone()) {
          answers.add(submit(client, answers.size() + 1));
          Thread.sleep(POLL_MS);
        }
        // then: those that were read have an answer, the others found no connection
        assertThat(answers).noneMatch(GracefulShutdownTest::isCutOff);
        assertThat(answers).anyMatch(GracefulShutdownTest::isOk);
      }
    }

    private static void awaitAccepted(WebClient client) throws InterruptedException {
      for (int i = 0; i < MOST_POLLS; i++) {
        if (submit(client, 0).join().status().code() == 200) {
          return;
        }
        Thread.sleep(POLL_MS);
      }
      throw new AssertionError("expected the job to be accepted");
    }
  }

  private static boolean isOk(CompletableFuture<AggregatedHttpResponse> answer) {
    return answer
        .handle((reply, failure) -> failure == null && reply.status().code() == 200)
        .join();
  }

  /** Tells whether the request reached the node and its connection was closed without an answer. */
  private static boolean isCutOff(CompletableFuture<AggregatedHttpResponse> answer) {
    return answer
        .handle(
            (reply, failure) ->
                failure != null && failure.toString().contains("ClosedSessionException"))
        .join();
  }

  private static CompletableFuture<AggregatedHttpResponse> submit(WebClient client, int number) {
    RequestHeaders headers =
        RequestHeaders.builder(
                HttpMethod.POST, SimulatedPlatform.JOB_PATH_PREFIX + String.format("%016x", number))
            .contentType(MediaType.JSON)
            .set(HttpHeaderNames.HOST, SimulatedPlatform.QUEUE_HOST)
            .build();
    return client
        .execute(headers, "{\"spec\":\"text\",\"phases\":[{\"count\":1,\"cpu\":100}]}")
        .aggregate();
  }

  private static NodeSettings settings(SimulatedPlatform platform, String callers)
      throws Exception {
    String text =
        String.format(
            "{\"name\": \"n\", \"callerAddress\": \"%s\", \"readinessAddress\": \"127.0.0.1:%d\","
                + "\"controlAddress\": \"127.0.0.1:%d\", \"storeAddress\": \"%s\","
                + "\"maxLeaseMs\": 6000, \"stopGraceMs\": 400, \"stopWithinS\": 6}",
            callers, freePort(), freePort(), platform.storeAddress());
    return NodeSettings.read(DocumentReader.parse("test", text));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
