package org.plantainloom.program.operator;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.plantainloom.coordination.timeline.TimelinePage;
import org.plantainloom.program.UsageException;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.HybridClock;
import org.plantainloom.transport.admin.ApiHeaders;
import org.plantainloom.transport.http.HttpReply;
import org.plantainloom.transport.http.JsonClient;

/** Options of one command and the client that it uses for the administration API. */
final class OperatorSession implements AutoCloseable {
  private static final long REQUEST_TIMEOUT_MS = 25_000;
  private static final long TIMELINE_TIMEOUT_MS = 2_000;

  private final OperatorSettings settings;
  private final CommandLine line;
  private final JsonClient client;
  private final String changeId;

  private OperatorSession(OperatorSettings settings, CommandLine line) {
    this.settings = settings;
    this.line = line;
    this.client =
        JsonClient.create(new HybridClock(System::currentTimeMillis), new MetricRegistry());
    this.changeId = line.getOptionValue("change-id", UUID.randomUUID().toString());
  }

  static OperatorSession open(OperatorSettings settings, CommandLine line) {
    return new OperatorSession(settings, line);
  }

  boolean isJson() {
    return line.hasOption("json");
  }

  boolean hasOption(String option) {
    return line.hasOption(option);
  }

  Optional<String> option(String name) {
    return Optional.ofNullable(line.getOptionValue(name));
  }

  int intOption(String option, int defaultValue) throws UsageException {
    String text = line.getOptionValue(option, Integer.toString(defaultValue));
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException e) {
      throw UsageException.of("--" + option + ": expected a whole number but found " + text);
    }
  }

  HttpReply get(String path) throws RequestFailedException {
    return send(HttpMethod.GET, path, "");
  }

  /**
   * Sends a request to the schedulers in order until one answers.
   *
   * <p>A scheduler that did not answer may have applied the change. The change id makes the retry
   * idempotent.
   *
   * @throws RequestFailedException if no scheduler answers or the reply is an error
   */
  HttpReply send(HttpMethod method, String path, String body) throws RequestFailedException {
    HttpReply reply = new HttpReply(HttpReply.NO_ANSWER, "no address");
    for (String address : settings.api()) {
      reply = client.send(headers(method, address, path), body, REQUEST_TIMEOUT_MS).join();
      if (!reply.isMissing()) {
        break;
      }
    }
    if (!reply.isSuccess()) {
      throw RequestFailedException.of(reply);
    }
    return reply;
  }

  /** Reads one page of a process's timeline; empty if the process does not answer. */
  Optional<TimelinePage> timelinePage(String address, long from) {
    HttpReply reply = client.get(address, "/timeline?from=" + from, TIMELINE_TIMEOUT_MS).join();
    return reply.isSuccess()
        ? Optional.of(Json.read(reply.body(), TimelinePage.class))
        : Optional.empty();
  }

  private RequestHeadersBuilder headers(HttpMethod method, String address, String path) {
    RequestHeadersBuilder headers =
        RequestHeaders.builder(method, JsonClient.url(address, path))
            .set(ApiHeaders.CHANGE_ID, changeId);
    if (!settings.token().isEmpty()) {
      headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + settings.token());
    }
    option("expect").ifPresent(r -> headers.set(ApiHeaders.EXPECTED_REVISION, r));
    if (hasOption("dry-run")) {
      headers.set(ApiHeaders.DRY_RUN, "true");
    }
    return headers;
  }

  @Override
  public void close() {
    client.close();
  }
}
