package org.plantainloom.support;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.Server;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.WorkerCommands;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerReport;
import org.plantainloom.transport.http.Replies;

/** Control interface of an idle worker on a loopback port; counts the messages that it receives. */
public final class WorkerEndpoint implements AutoCloseable {
  private final WorkerId worker;
  private final Server server;
  private final AtomicInteger messages = new AtomicInteger();
  private volatile Optional<String> damagedReply = Optional.empty();

  private WorkerEndpoint(WorkerId worker) {
    this.worker = worker;
    this.server =
        Server.builder()
            .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .meterRegistry(NoopMeterRegistry.get())
            .gracefulShutdownTimeoutMillis(0, 0)
            .serviceUnder(
                "/",
                (ctx, request) ->
                    HttpResponse.of(
                        request.aggregate().thenApply(body -> reply(body.contentUtf8()))))
            .build();
    server.start().join();
  }

  /** Starts the interface of a worker. */
  public static WorkerEndpoint start(WorkerId worker) {
    return new WorkerEndpoint(worker);
  }

  private HttpResponse reply(String body) {
    messages.incrementAndGet();
    if (damagedReply.isPresent()) {
      return HttpResponse.of(MediaType.JSON, damagedReply.get());
    }
    WorkerCommands commands = Json.read(body, WorkerCommands.class);
    return Replies.ok(
        new WorkerReport(worker, commands.generation(), commands.rackEpoch(), true, List.of()));
  }

  /** Replies with this text instead of a report from now on. */
  public void replyWith(String text) {
    damagedReply = Optional.of(text);
  }

  /** Returns host and port. */
  public String address() {
    return "127.0.0.1:" + server.activeLocalPort();
  }

  /** Returns how many messages were received. */
  public int messages() {
    return messages.get();
  }

  @Override
  public void close() {
    Servers.stopInBackground(server);
  }
}
