package org.plantainloom.soak;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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

  /** Status of a response that says that there is no such job. */
  private static final int GONE = 410;

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
    } else if (action <= 2 && known != null && known.mayBeRepeated()) {
      submit(known);
    } else {
      submitNew(newJob());
    }
  }

  /** Submits a job for the first time, and returns the status of the response; 0 if none came. */
  CompletableFuture<Integer> submitNew(SoakJob job) {
    jobs.add(job);
    checker.register(job);
    return submit(job);
  }

  /** Repeats one of the submissions that had no response, if there are any. */
  void repeatUnanswered() {
    List<SoakJob> unanswered = jobs.stream().filter(SoakJob::mayBeRepeated).toList();
    if (!unanswered.isEmpty()) {
      submit(unanswered.get(random.nextInt(unanswered.size())));
    }
  }

  String drawId() {
    return String.format("%016x", random.nextLong());
  }

  private SoakJob newJob() {
    long open =
        jobs.stream()
            .filter(job -> job.longRunning() && job.cancelAcknowledgement().isEmpty())
            .count();
    boolean longRunning = open < MAX_LONG_RUNNING_JOBS && random.nextInt(6) == 0;
    return new SoakJob(
        drawId(),
        longRunning ? 1 : 1 + random.nextInt(3),
        1 + random.nextInt(3),
        250 + random.nextInt(MAX_JOB_CPU_MILLIS / 4),
        longRunning,
        longRunning ? 0 : taskMs.applyAsInt(random));
  }

  /** Submits a job to a random node, without waiting for the response. */
  private CompletableFuture<Integer> submit(SoakJob job) {
    job.inFlight = true;
    return send(drawNode(), HttpMethod.POST, job.id(), job.body())
        .thenApply(
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
              return status;
            });
  }

  /** Cancels a job at a random node; the result is whether that was acknowledged. */
  CompletableFuture<Boolean> cancel(SoakJob job) {
    return cancel(job, drawNode());
  }

  /** Cancels a job at all nodes at once. */
  void cancelEverywhere(SoakJob job) {
    for (int node = 0; node < nodes.size(); node++) {
      cancel(job, node);
    }
  }

  private CompletableFuture<Boolean> cancel(SoakJob job, int node) {
    job.cancelRequested = true;
    return send(node, HttpMethod.DELETE, job.id(), "")
        .thenApply(
            status -> {
              boolean acknowledged = status / 100 == 2 || status == GONE;
              if (acknowledged) {
                job.acknowledgeCancellation(
                    new Acknowledgement(SoakRun.nowMs(), node, status, job.submission()));
              }
              return acknowledged;
            });
  }

  /** Returns the response of a random node about a job's state; empty if there is none. */
  String state(SoakJob job) {
    return request(drawNode(), HttpMethod.GET, job.id(), "")
        .handle((response, failure) -> failure == null ? response.contentUtf8() : "")
        .join();
  }

  /** Waits until each job is settled, and reports a violation for those that are not in time. */
  void awaitSettled(int workers) throws InterruptedException {
    List<SoakJob> unsettled = new ArrayList<>(jobs);
    unsettled.removeIf(this::isSettled);
    long end = SoakRun.nowMs() + shortestWorkMs(unsettled, workers) + SETTLE_TIMEOUT_MS;
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
              + job.cancelAcknowledgement().isPresent()
              + " longRunning="
              + job.longRunning()
              + " running="
              + checker.runningTasks(job.id())
              + " state="
              + state(job));
    }
  }

  /** Returns how long workers that are never idle need for the jobs that run to their end. */
  private static long shortestWorkMs(List<SoakJob> jobs, int workers) {
    long workMs =
        jobs.stream()
            .filter(job -> job.accepted && !job.longRunning() && !job.cancelRequested)
            .mapToLong(SoakJob::workMs)
            .sum();
    return workMs * 1_000 / ((long) workers * InvariantChecker.WORKER_CPU_MILLIS);
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
      Optional<Acknowledgement> ack = job.cancelAcknowledgement();
      boolean ended =
          state.contains("cancelled") || state.contains("completed") || hasFailed(job, state);
      return (ended || ack.filter(a -> a.status() == GONE).isPresent())
          ? running == 0
          : ack.isEmpty();
    }
    if (job.longRunning()) {
      return state.contains("active") && running == job.width();
    }
    return (state.contains("completed") || hasFailed(job, state)) && running == 0;
  }

  /** Returns whether a job failed with cause: a failing worker may use up a task's attempts. */
  private boolean hasFailed(SoakJob job, String state) {
    return state.contains("failed")
        && JobStateRule.mayHaveFailed(job, checker.history(), SoakRun.nowMs());
  }

  private int drawNode() {
    return random.nextInt(nodes.size());
  }

  private CompletableFuture<Integer> send(int node, HttpMethod method, String id, String body) {
    return request(node, method, id, body)
        .handle((response, failure) -> failure == null ? response.status().code() : 0);
  }

  private CompletableFuture<AggregatedHttpResponse> request(
      int node, HttpMethod method, String id, String body) {
    RequestHeaders headers =
        RequestHeaders.builder(method, SimulatedPlatform.JOB_PATH_PREFIX + id)
            .contentType(MediaType.JSON)
            .set(HttpHeaderNames.HOST, SimulatedPlatform.QUEUE_HOST)
            .build();
    return nodes.get(node).execute(headers, body).aggregate();
  }
}
