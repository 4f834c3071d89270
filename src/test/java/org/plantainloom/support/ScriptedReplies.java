package org.plantainloom.support;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.Server;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.Function;

/** HTTP server on a loopback port that replies to each path with a text. */
public final class ScriptedReplies implements AutoCloseable {
  private final Server server;

  private ScriptedReplies(Function<String, String> replyTo) {
    this.server =
        Server.builder()
            .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .meterRegistry(NoopMeterRegistry.get())
            .gracefulShutdownTimeoutMillis(0, 0)
            .serviceUnder(
                "/",
                (ctx, request) ->
                    HttpResponse.of(
                        request
                            .aggregate()
                            .thenApply(
                                body ->
                                    HttpResponse.of(
                                        HttpStatus.OK,
                                        MediaType.JSON_UTF_8,
                                        replyTo.apply(ctx.path())))))
            .build();
    server.start().join();
  }

  /**
   * Starts a server.
   *
   * @param replyTo returns the body of the reply to a path; called on several threads
   */
  public static ScriptedReplies start(Function<String, String> replyTo) {
    return new ScriptedReplies(replyTo);
  }

  /** Returns host and port. */
  public String address() {
    return "127.0.0.1:" + server.activeLocalPort();
  }

  @Override
  public void close() {
    Servers.stopInBackground(server);
  }
}
