package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.Server;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.state.store.ReadReply;
import org.plantainloom.state.store.WatchReply;
import org.plantainloom.support.Servers;
import org.testng.annotations.Test;

/** Tests that the store can be followed beside large and unreadable values of other systems. */
public class PlatformStoreTest {
  /** Largest value that the store accepts. */
  private static final int MAX_VALUE_BYTES = 1 << 20;

  private static final long ANY_TASK_MS = 50;

  /** The store bounds the size of a page, but not that of a reply to a watch call. */
  @Test
  public void should_list_again_when_the_changes_are_too_large_for_one_reply() {
    // given
    try (SimulatedPlatform platform = SimulatedPlatform.start(1, ANY_TASK_MS);
        PlatformHttpClient client = new PlatformHttpClient()) {
      PlatformStore store = new PlatformStore(client, platform.storeAddress());
      ReadReply.Found before = (ReadReply.Found) store.list("servers/").join();
      for (int i = 0; i < 4; i++) {
        platform.putWorkerEntry("odd", "x".repeat(MAX_VALUE_BYTES));
      }
      // when
      WatchReply changes = store.watch("servers/", before.revision(), 0).join();
      ReadReply list = store.list("servers/").join();
      // then: the changes would be as large with each further attempt
      assertThat(changes).isInstanceOf(WatchReply.HistoryLost.class);
      assertThat(list).isInstanceOf(ReadReply.Found.class);
    }
  }

  /** Such a read is cheaper for the store. */
  @Test
  public void should_allow_the_store_to_answer_a_stale_read_from_an_earlier_state() {
    // given
    Server server =
        Server.builder()
            .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .meterRegistry(NoopMeterRegistry.get())
            .gracefulShutdownTimeoutMillis(0, 0)
            .serviceUnder(
                "/",
                (ctx, request) ->
                    HttpResponse.of(
                        HttpStatus.OK,
                        MediaType.JSON,
                        "{\"key\":\"" + ctx.query() + "\",\"revision\":5,\"value\":\"\"}"))
            .build();
    server.start().join();
    try (PlatformHttpClient client = new PlatformHttpClient()) {
      PlatformStore store = new PlatformStore(client, "127.0.0.1:" + server.activeLocalPort());
      // when
      ReadReply.Found read = (ReadReply.Found) store.readStale("a").join();
      // then
      assertThat(read.items()).singleElement().matches(item -> item.key().contains("stale-ok=1"));
    } finally {
      Servers.stopInBackground(server);
    }
  }

  @Test
  public void should_read_a_value_that_is_not_text_as_empty() {
    // given: a registration with a byte that UTF-8 does not allow in its service
    byte[] value = "{\"service\":\"s?\"}".getBytes(StandardCharsets.US_ASCII);
    value[13] = (byte) 0xff;
    String item =
        "{\"key\":\"servers/odd\",\"revision\":5,\"value\":\""
            + Base64.getEncoder().encodeToString(value)
            + "\"}";
    Server server =
        Server.builder()
            .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .meterRegistry(NoopMeterRegistry.get())
            .gracefulShutdownTimeoutMillis(0, 0)
            .serviceUnder(
                "/",
                (ctx, request) ->
                    HttpResponse.of(
                        HttpStatus.OK, MediaType.JSON, "{\"items\":[" + item + "],\"at\":5}"))
            .build();
    server.start().join();
    try (PlatformHttpClient client = new PlatformHttpClient()) {
      PlatformStore store = new PlatformStore(client, "127.0.0.1:" + server.activeLocalPort());
      // when
      ReadReply.Found list = (ReadReply.Found) store.list("servers/").join();
      // then
      assertThat(list.items()).singleElement().matches(read -> read.value().isEmpty());
    } finally {
      Servers.stopInBackground(server);
    }
  }
}
