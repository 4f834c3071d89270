package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.StartTaskCommand;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.testng.annotations.Test;

/** Tests that a command that got no response in time is not delivered later. */
public class LateCommandTest {
  private static final TaskKey TASK = new TaskKey("00000000000000aa", 0, 0, 0);

  /**
   * A connection that is closed in the usual way goes on sending what the network has not taken
   * yet, so that a start could arrive seconds later.
   */
  @Test
  public void should_discard_what_is_not_delivered_when_a_start_gets_no_response()
      throws Exception {
    // given: a worker that accepts a connection and reads nothing
    try (ServerSocket worker = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        PlatformHttpClient client = new PlatformHttpClient()) {
      WorkerRegistration registration =
          new WorkerRegistration(
              "w",
              "s",
              "127.0.0.1:" + worker.getLocalPort(),
              "z",
              false,
              ResourceVector.ZERO,
              List.of(),
              0,
              0);
      // when
      CommandReply reply =
          new PlatformWorkers(client)
              .start(registration, new StartTaskCommand(TASK, 1, "", "", ""), 0, 1)
              .join();
      // then
      assertThat(reply).isEqualTo(CommandReply.UNKNOWN);
      try (Socket connection = worker.accept();
          InputStream received = connection.getInputStream()) {
        assertThatThrownBy(received::readAllBytes)
            .isInstanceOf(SocketException.class)
            .hasMessageContaining("reset");
      }
    }
  }
}
