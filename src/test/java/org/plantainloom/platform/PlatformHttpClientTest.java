package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.PollReply;
import org.plantainloom.state.job.StartTaskCommand;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a command whose request cannot be created has a reply like any other. */
public class PlatformHttpClientTest {
  private static final TaskKey TASK = new TaskKey("00000000000000aa", 0, 0, 0);

  /** Ids and addresses that cannot be part of a request. */
  @DataProvider
  public static Object[][] unusableTargets() {
    return new Object[][] {
      {"w", "10.0.0.1:99999"},
      {"w", "10.0.0.1:-1"},
      {"w", ":1"},
      {"w", "a b:1"},
      {"w", "256.1.1.1:1"},
      {"w", "1:1"},
      {"w", "[::1"},
      {"w", ""},
      {"w", "127.0.0.1:1\n"},
      {"w", "\u0000:1"},
      {"w", "\ud800:1"},
      {"a\nb", "127.0.0.1:1"},
      {"a\r\nx: y", "127.0.0.1:1"},
      {"\u0000", "127.0.0.1:1"},
    };
  }

  @Test(dataProvider = "unusableTargets")
  public void should_report_a_command_whose_request_cannot_be_created_as_not_sent(
      String id, String address) {
    // given
    WorkerRegistration worker =
        new WorkerRegistration(id, "s", address, "z", false, ResourceVector.ZERO, List.of(), 0, 0);
    try (PlatformHttpClient client = new PlatformHttpClient()) {
      PlatformWorkers workers = new PlatformWorkers(client);
      // when
      PollReply poll = workers.poll(worker, Optional.empty(), 0, 0, 1).join();
      CommandReply start =
          workers.start(worker, new StartTaskCommand(TASK, 1, "", "", ""), 0, 1).join();
      // then: nothing was sent, so the task may start elsewhere at once
      assertThat(poll).isInstanceOf(PollReply.Unavailable.class);
      assertThat(start).isEqualTo(CommandReply.UNHEALTHY);
    }
  }
}
