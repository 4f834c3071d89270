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
 * Runs nodes against a simulated platform until some jobs are completed, so that the build can
 * create a class data sharing (CDS) archive of the classes that a node loads. With the archive, a
 * restarted node listens in half the time.
 */
public final class ArchiveTraining {
  private static final long TASK_MS = 20;
  private static final long POLL_MS = 50;
  private static final int MAX_POLLS = 400;
  private static final int JOBS_PER_NODE = 8;
  private static final String BODY =
      "{\"spec\":\"text\",\"phases\":[{\"count\":2,\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":20},"
          + "{\"count\":2,\"cpu\":500,\"mem-mb\":256,\"after\":[0],\"utilization\":true,"
          + "\"checkpointing\":true,\"image\":\"a\"}]}";

  private ArchiveTraining() {}

  /** Runs two nodes, one after the other, and ends the process. */
  public static void main(String[] args) throws Exception {
    try (SimulatedPlatform platform = SimulatedPlatform.start(3, TASK_MS)) {
      platform.configure(1);
      runNode(platform, "a");
      // The second node takes over the state that the first one stored.
      runNode(platform, "b");
    }
    System.exit(0);
  }

  private static void runNode(SimulatedPlatform platform, String idDigit) throws Exception {
    String callerAddress = "127.0.0.1:" + freePort();
    NodeProcess node = NodeProcess.start(settings(platform, callerAddress));
    WebClient client = WebClient.of("h1c://" + callerAddress);
    for (int i = 0; i < JOBS_PER_NODE; i++) {
      runJob(client, SimulatedPlatform.JOB_PATH_PREFIX + "00000000000000" + idDigit + i);
    }
    node.stop();
  }

  private static NodeSettings settings(SimulatedPlatform platform, String callerAddress)
      throws IOException, InvalidDocumentException {
    String text =
        "{\"name\": \"training\", \"callerAddress\": \""
            + callerAddress
            + "\", \"readinessAddress\": \"127.0.0.1:"
            + freePort()
            + "\", \"controlAddress\": \"127.0.0.1:"
            + freePort()
            + "\", // as the platform renders it\n\"storeAddress\": \""
            + platform.storeAddress()
            + "\", \"coreShare\": 1, \"coreSpeed\": 1, \"maxLeaseMs\": 6000, \"stopGraceMs\": 400, \"stopWithinS\": 6}";
    return NodeSettings.read(DocumentReader.parse("training", text));
  }

  private static void runJob(WebClient client, String path) throws InterruptedException {
    for (int i = 0; i < MAX_POLLS; i++) {
      if (send(client, HttpMethod.POST, path, BODY).status().isSuccess()) {
        break;
      }
      Thread.sleep(POLL_MS);
    }
    for (int i = 0; i < MAX_POLLS; i++) {
      if (send(client, HttpMethod.GET, path, "").contentUtf8().contains("completed")) {
        send(client, HttpMethod.GET, SimulatedPlatform.JOB_PATH_PREFIX, "");
        send(client, HttpMethod.DELETE, path, "");
        return;
      }
      Thread.sleep(POLL_MS);
    }
    throw new IllegalStateException("the training job did not complete in time: " + path);
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
