package org.plantainloom.soak;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.platform.standin.SimulatedPlatform;

/**
 * Callers that submit and cancel jobs and repeat submissions without a response, on persistent
 * connections.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the responses are recorded in the job
final class SoakCallers {
  /** Timeout of the callers on the known platforms. */
  private static final long RESPONSE_TIMEOUT_MS = 3_000;

  private static final int MAX_LONG_RUNNING_JOBS = 3;
  private static final int MAX_JOB_CPU_MILLIS = 3_000;

  private final List<WebClient> nodes = new ArrayList<>();
  private final List<SoakJob> jobs = new ArrayList<>();
  private final InvariantChecker checker;
  private final Random random;

  SoakCallers(List<SoakNode> targets, InvariantChecker checker, Random random) {
    targets.forEach(node -> nodes.add(client(node)));
    this.checker = checker;
    this.random = random;
  }

  private static WebClient client(SoakNode node) {
    return WebClient.builder("h1c://" + node.callerAddress)
        .responseTimeoutMillis(RESPONSE_TIMEOUT_MS)
        .build();
  }

  List<SoakJob> jobs() {
    return jobs;
  }

  /** Submits a new job, cancels one, or repeats a submission that had no response. */
  void step() {
    int action = random.nextInt(10);
    SoakJob known = jobs.isEmpty() ? null : jobs.get(random.nextInt(jobs.size()));
    if (action == 0 && known != null && known.accepted) {
      cancel(known);
    } else if (action <= 2
        && known != null
        && known.outcomeUnknown
        && !known.accepted
        && !known.inFlight) {
      submit(known);
    } else {
      SoakJob job = newJob();
      jobs.add(job);
      checker.register(job);
      submit(job);
    }
  }

  private SoakJob newJob() {
    long open =
        jobs.stream().filter(job -> job.longRunning() && job.cancelAcknowledgedMs == 0).count();
    boolean longRunning = open < MAX_LONG_RUNNING_JOBS && random.nextInt(6) == 0;
    return new SoakJob(
        String.format("%016x", random.nextLong()),
        longRunning ? 1 : 1 + random.nextInt(3),
        1 + random.nextInt(3),
        250 + random.nextInt(MAX_JOB_CPU_MILLIS / 4),
        longRunning);
  }

  /** Submits a job to a random node, without waiting for the response. */
  private void submit(SoakJob job) {
    job.inFlight = true;
    send(HttpMethod.POST, job.id(), job.body())
        .thenAccept(
            status -> {
              if (status / 100 == 2) {
                job.accepted = true;
              } else if (status == 503 || status == 429) {
                // Only if no other submission of the job may have been accepted.
                job.rejected = !job.outcomeUnknown && !job.accepted;
              } else {
                job.outcomeUnknown = true;
              }
              job.inFlight = false;
            });
  }

  private void cancel(SoakJob job) {
    job.cancelRequested = true;
    send(HttpMethod.DELETE, job.id(), "")
        .thenAccept(
            status -> {
              if (status / 100 == 2 && job.cancelAcknowledgedMs == 0) {
                job.cancelAcknowledgedMs = SoakRun.nowMs();
              }
            });
  }

  /** Returns the response of a random node about a job's state; empty if there is none. */
  String state(SoakJob job) {
    return request(HttpMethod.GET, job.id(), "")
        .handle((response, failure) -> failure == null ? response.contentUtf8() : "")
        .join();
  }

  private CompletableFuture<Integer> send(HttpMethod method, String id, String body) {
    return request(method, id, body)
        .handle((response, failure) -> failure == null ? response.status().code() : 0);
  }

  private CompletableFuture<AggregatedHttpResponse> request(
      HttpMethod method, String id, String body) {
    RequestHeaders headers =
        RequestHeaders.builder(method, SimulatedPlatform.JOB_PATH_PREFIX + id)
            .contentType(MediaType.JSON)
            .set(HttpHeaderNames.HOST, SimulatedPlatform.QUEUE_HOST)
            .build();
    return nodes.get(random.nextInt(nodes.size())).execute(headers, body).aggregate();
  }
}
