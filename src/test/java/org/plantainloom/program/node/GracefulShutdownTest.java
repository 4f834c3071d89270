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

/**
 * Checks that a node that stops responds to each request that it has read, also if a step of the
 * shutdown times out because the node is busy.
 */
public class GracefulShutdownTest {
  private static final long TASK_MS = 50;
  private static final long SLOW_STORE_MS = 900;
  private static final long POLL_MS = 20;
  private static final int MAX_POLLS = 1_500;

  /** The steps of a shutdown. */
  public static class Steps {
    @Test
    public void should_run_the_remaining_steps_after_one_that_timed_out() {
      // given
      List<String> stepsRun = new ArrayList<>();
      // when
      GracefulShutdown.of("node")
          .step("persist progress", () -> stepsRun.add("persist"))
          .step(
              "resign ownership",
              () -> {
                throw new TimeoutException("busy");
              })
          .step("finish requests", () -> stepsRun.add("finish"))
          .run();
      // then
      assertThat(stepsRun).containsExactly("persist", "finish");
    }
  }

  /** A whole node. */
  public static class WholeNode {
    @Test
    public void should_answer_requests_in_progress_when_the_server_stops() throws Exception {
      try (SimulatedPlatform platform = SimulatedPlatform.start(1, TASK_MS)) {
        // given: a store so slow that submissions are in progress when connections are closed
        platform.configure(1);
        String callerAddress = "127.0.0.1:" + freePort();
        NodeProcess node = NodeProcess.start(settings(platform, callerAddress));
        WebClient client = WebClient.of("h1c://" + callerAddress);
        awaitAccepted(client);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(node::stop);
        platform.setStoreDelay(SLOW_STORE_MS);
        List<CompletableFuture<AggregatedHttpResponse>> responses = new ArrayList<>();
        // when: requests are sent one after the other, on open connections, until the node stopped
        while (!stopped.isDone()) {
          responses.add(submit(client, responses.size() + 1));
          Thread.sleep(POLL_MS);
        }
        // then: requests that the node read have a response, the others found no connection
        assertThat(responses).noneMatch(GracefulShutdownTest::isResponseLost);
        assertThat(responses).anyMatch(GracefulShutdownTest::isOk);
      }
    }

    private static void awaitAccepted(WebClient client) throws InterruptedException {
      for (int i = 0; i < MAX_POLLS; i++) {
        if (submit(client, 0).join().status().code() == 200) {
          return;
        }
        Thread.sleep(POLL_MS);
      }
      throw new AssertionError("expected the node to accept a job");
    }
  }

  private static boolean isOk(CompletableFuture<AggregatedHttpResponse> response) {
    return response
        .handle((reply, failure) -> failure == null && reply.status().code() == 200)
        .join();
  }

  /** Returns whether the connection was closed after the request was sent, without a response. */
  private static boolean isResponseLost(CompletableFuture<AggregatedHttpResponse> response) {
    return response
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

  private static NodeSettings settings(SimulatedPlatform platform, String callerAddress)
      throws Exception {
    String text =
        String.format(
            "{\"name\": \"n\", \"callerAddress\": \"%s\", \"readinessAddress\": \"127.0.0.1:%d\","
                + "\"controlAddress\": \"127.0.0.1:%d\", \"storeAddress\": \"%s\","
                + "\"coreShare\": 1, \"coreSpeed\": 1, \"maxLeaseMs\": 6000, \"stopGraceMs\": 400, \"stopWithinS\": 6}",
            callerAddress, freePort(), freePort(), platform.storeAddress());
    return NodeSettings.read(DocumentReader.parse("test", text));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
