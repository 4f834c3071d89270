package org.plantainloom.transport.platform;

import com.linecorp.armeria.common.HttpMethod;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.WorkerCommands;
import org.plantainloom.state.WorkerControl;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.WorkerReport;
import org.plantainloom.transport.http.DecodeErrorLog;
import org.plantainloom.transport.http.JsonClient;

/** Adapter to the workers' control interface. */
public final class HttpWorkerControl implements WorkerControl {
  private static final long TIMEOUT_MS = 1_500;

  private final JsonClient client;
  private final DecodeErrorLog errors = new DecodeErrorLog();

  /** Creates the adapter. */
  public HttpWorkerControl(JsonClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<Optional<WorkerReport>> sync(
      WorkerInfo worker, WorkerCommands commands) {
    return client
        .send(HttpMethod.POST, worker.address(), "/control/sync", Json.write(commands), TIMEOUT_MS)
        .thenApply(
            JsonClient.decoding(
                errors,
                "report of worker " + worker.id(),
                reply ->
                    reply.isSuccess()
                        ? Optional.of(reportOf(worker, reply.body()))
                        : Optional.<WorkerReport>empty(),
                Optional.empty()));
  }

  private static WorkerReport reportOf(WorkerInfo worker, String body) {
    WorkerReport report = Json.read(body, WorkerReport.class);
    if (!report.worker().equals(worker.id())) {
      throw MalformedMessageException.of(
          WorkerReport.class, "the report of " + report.worker(), null);
    }
    return report;
  }
}
