package org.plantainloom.program.node;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.plantainloom.platform.NodeSettings;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;

/**
 * Runs a node against a stand-in of the platform until a job is done, so that the build can archive
 * the classes that a node loads. A restarted node then listens in half the time.
 */
public final class ArchiveTraining {
  private static final long TASK_MS = 20;
  private static final long POLL_MS = 50;
  private static final int MOST_POLLS = 400;
  private static final int JOBS = 8;
  private static final String BODY =
      "{\"spec\":\"text\",\"phases\":[{\"count\":2,\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":20},"
          + "{\"count\":2,\"cpu\":500,\"mem-mb\":256,\"after\":[0],\"utilization\":true,"
          + "\"checkpointing\":true,\"image\":\"a\"}]}";

  private ArchiveTraining() {}

  /** Runs the training and ends the process. */
  public static void main(String[] args) throws Exception {
    try (SimulatedPlatform platform = SimulatedPlatform.start(3, TASK_MS)) {
      platform.configure(1);
      runNode(platform, "a");
      // The second node takes over what the first has kept.
      runNode(platform, "b");
    }
    System.exit(0);
  }

  private static void runNode(SimulatedPlatform platform, String suffix) throws Exception {
    String callers = "127.0.0.1:" + freePort();
    NodeProcess node = NodeProcess.start(settings(platform, callers));
    WebClient client = WebClient.of("h1c://" + callers);
    for (int i = 0; i < JOBS; i++) {
      runJob(client, SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000" + suffix + i);
    }
    node.stop();
  }

  private static NodeSettings settings(SimulatedPlatform platform, String callers)
      throws IOException, InvalidDocumentException {
    String text =
        "{\"name\": \"training\", \"callerAddress\": \""
            + callers
            + "\", \"readinessAddress\": \"127.0.0.1:"
            + freePort()
            + "\", \"controlAddress\": \"127.0.0.1:"
            + freePort()
            + "\", // as the platform renders it\n\"storeAddress\": \""
            + platform.storeAddress()
            + "\", \"maxLeaseMs\": 6000, \"stopGraceMs\": 400, \"stopWithinS\": 6}";
    return NodeSettings.read(DocumentReader.parse("training", text));
  }

  private static void runJob(WebClient client, String path) throws InterruptedException {
    for (int i = 0; i < MOST_POLLS; i++) {
      if (send(client, HttpMethod.POST, path, BODY).status().isSuccess()) {
        break;
      }
      Thread.sleep(POLL_MS);
    }
    for (int i = 0; i < MOST_POLLS; i++) {
      if (send(client, HttpMethod.GET, path, "").contentUtf8().contains("completed")) {
        send(client, HttpMethod.GET, SimulatedPlatform.JOB_PATH_PREFIX, "");
        send(client, HttpMethod.DELETE, path, "");
        return;
      }
      Thread.sleep(POLL_MS);
    }
    throw new IllegalStateException("the training job was not done in time: " + path);
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

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
