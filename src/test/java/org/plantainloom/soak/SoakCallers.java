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
import java.util.function.ToIntFunction;
import org.plantainloom.platform.standin.SimulatedPlatform;

/**
 * Callers that submit and cancel jobs and repeat submissions without a response, on persistent
 * connections.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the responses are recorded in the job
final class SoakCallers {
  /** Timeout of the callers on the known platforms. */
  private static final long RESPONSE_TIMEOUT_MS = 3_000;

  /** Limit of the wait for accepted jobs: expiry of leases, a takeover and the backlog together. */
  private static final long SETTLE_TIMEOUT_MS = 60_000;

  private static final long SETTLE_POLL_MS = 250;
  private static final int MAX_LONG_RUNNING_JOBS = 3;
  private static final int MAX_JOB_CPU_MILLIS = 3_000;

  private final List<WebClient> nodes = new ArrayList<>();
  private final List<SoakJob> jobs = new ArrayList<>();
  private final InvariantChecker checker;
  private final Random random;
  private final ToIntFunction<Random> taskMs;

  /** Creates callers whose tasks run for the workers' default. */
  SoakCallers(List<SoakNode> targets, InvariantChecker checker, Random random) {
    this(targets, checker, random, source -> 0);
  }

  /**
   * Creates callers.
   *
   * @param taskMs draws how long the tasks of a job run; 0 for the workers' default
   */
  SoakCallers(
      List<SoakNode> targets,
      InvariantChecker checker,
      Random random,
      ToIntFunction<Random> taskMs) {
    this.taskMs = taskMs;
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
        longRunning,
        longRunning ? 0 : taskMs.applyAsInt(random));
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

  /** Waits until each job is settled, and reports a violation for those that are not in time. */
  void awaitSettled() throws InterruptedException {
    List<SoakJob> unsettled = new ArrayList<>(jobs);
    long end = SoakRun.nowMs() + SETTLE_TIMEOUT_MS;
    while (!unsettled.isEmpty() && SoakRun.nowMs() < end) {
      unsettled.removeIf(this::isSettled);
      Thread.sleep(SETTLE_POLL_MS);
    }
    for (SoakJob job : unsettled) {
      checker.report(
          "not settled: "
              + job.id()
              + " accepted="
              + job.accepted
              + " cancelled="
              + (job.cancelAcknowledgedMs != 0)
              + " longRunning="
              + job.longRunning()
              + " running="
              + checker.runningTasks(job.id())
              + " state="
              + state(job));
    }
  }

  private boolean isSettled(SoakJob job) {
    if (job.inFlight) {
      return false;
    }
    if (!job.accepted) {
      return true; // rejected or unanswered, so nothing is expected of it
    }
    String state = state(job);
    long running = checker.runningTasks(job.id());
    if (job.cancelRequested) {
      boolean ended = state.contains("cancelled") || state.contains("completed");
      return (ended || state.contains("failed")) ? running == 0 : job.cancelAcknowledgedMs == 0;
    }
    if (job.longRunning()) {
      return state.contains("active") && running == job.width();
    }
    // A job may fail, as a failing worker may use up the attempts of a task.
    return (state.contains("completed") || state.contains("failed")) && running == 0;
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
