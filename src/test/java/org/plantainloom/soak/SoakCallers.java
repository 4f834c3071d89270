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

/** Callers who hand in and cancel jobs, repeat what had no answer, and keep their connections. */
@SuppressWarnings("FutureReturnValueIgnored") // answers are noted in the job
final class SoakCallers {
  /** Callers' deadline on the known platforms. */
  private static final long ANSWER_WITHIN_MS = 3_000;

  private static final int MOST_OPEN_LASTING = 3;
  private static final int MOST_CPU_MILLIS = 3_000;

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
        .responseTimeoutMillis(ANSWER_WITHIN_MS)
        .build();
  }

  List<SoakJob> jobs() {
    return jobs;
  }

  /** Takes one step: a new job, a cancellation, or a repeat of what had no answer. */
  void step() {
    int choice = random.nextInt(10);
    SoakJob known = jobs.isEmpty() ? null : jobs.get(random.nextInt(jobs.size()));
    if (choice == 0 && known != null && known.accepted) {
      cancel(known);
    } else if (choice <= 2
        && known != null
        && known.unknown
        && !known.accepted
        && !known.inFlight) {
      submit(known);
    } else {
      SoakJob job = newJob();
      jobs.add(job);
      checker.announce(job);
      submit(job);
    }
  }

  private SoakJob newJob() {
    long open = jobs.stream().filter(j -> j.lasting() && j.cancelledMs == 0).count();
    boolean lasting = open < MOST_OPEN_LASTING && random.nextInt(6) == 0;
    return new SoakJob(
        String.format("%016x", random.nextLong()),
        lasting ? 1 : 1 + random.nextInt(3),
        1 + random.nextInt(3),
        250 + random.nextInt(MOST_CPU_MILLIS / 4),
        lasting);
  }

  /** Hands a job in at any node; others are handed in while it waits for its answer. */
  private void submit(SoakJob job) {
    job.inFlight = true;
    send(HttpMethod.POST, job.id(), job.body())
        .thenAccept(
            status -> {
              if (status / 100 == 2) {
                job.accepted = true;
              } else if (status == 503 || status == 429) {
                // True only if no other try may have been carried out.
                job.refused = !job.unknown && !job.accepted;
              } else {
                job.unknown = true;
              }
              job.inFlight = false;
            });
  }

  private void cancel(SoakJob job) {
    job.cancelTried = true;
    send(HttpMethod.DELETE, job.id(), "")
        .thenAccept(
            status -> {
              if (status / 100 == 2 && job.cancelledMs == 0) {
                job.cancelledMs = SoakRun.nowMs();
              }
            });
  }

  /** Returns what a node says of a job; empty without an answer. */
  String state(SoakJob job) {
    return request(HttpMethod.GET, job.id(), "")
        .handle((answer, failure) -> failure == null ? answer.contentUtf8() : "")
        .join();
  }

  private CompletableFuture<Integer> send(HttpMethod method, String id, String body) {
    return request(method, id, body)
        .handle((answer, failure) -> failure == null ? answer.status().code() : 0);
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
