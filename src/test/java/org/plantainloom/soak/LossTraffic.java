package org.plantainloom.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;

/**
 * What callers request: some lasting jobs, short jobs in a stream, few cancellations, and the
 * states of all of these; at the end the state of each accepted job.
 */
final class LossTraffic {
  private static final int LASTING_JOBS = 5;
  private static final int LASTING_WIDTH = 3;
  private static final int MAX_PHASES = 3;
  private static final Range LASTING_CPU_MILLIS = new Range(500, 1_500);
  private static final Range SHORT_WIDTH = new Range(2, 8);
  private static final Range SHORT_CPU_MILLIS = new Range(400, 1_200);
  private static final Range SHORT_TASK_MS = new Range(300, 1_500);

  /** Number of the newest jobs that half of the queries are about. */
  private static final int NEW_JOBS = 20;

  private final ExchangeLog log;
  private final InvariantChecker checker;
  private final Random random;

  /** Mean time between the submissions of jobs. */
  private final long submitEveryMs;

  private final int lastingJobs;
  private final List<SoakJob> jobs = new ArrayList<>();
  private final Queue<SoakJob> asked = new ArrayDeque<>();
  private final Map<String, Long> firstAskedMs = new HashMap<>();
  private long nextSubmitMs;
  private boolean submitting = true;
  private boolean asking;

  /** A request that a caller is to send. */
  record Request(SoakJob job, String method, String body) {
    static Request query(SoakJob job) {
      return new Request(job, "GET", "");
    }
  }

  /**
   * Creates the traffic.
   *
   * @param share how many times as many jobs as usual are submitted
   */
  LossTraffic(ExchangeLog log, InvariantChecker checker, Random random, double share) {
    this.log = log;
    this.checker = checker;
    this.random = random;
    this.submitEveryMs = Math.round(450 / share);
    this.lastingJobs = (int) Math.ceil(LASTING_JOBS * share);
  }

  synchronized List<SoakJob> jobs() {
    return List.copyOf(jobs);
  }

  /** Submits and cancels nothing from now on; callers go on to ask for states. */
  synchronized void stopSubmitting() {
    submitting = false;
  }

  /** Lets callers ask for the state of each accepted job. */
  synchronized void askForAll() {
    asking = true;
    firstAskedMs.clear();
    jobs.stream().filter(job -> job.accepted).forEach(asked::add);
  }

  /** Returns whether an accepted job is still to be asked for. */
  synchronized boolean isAsking() {
    return !asked.isEmpty();
  }

  /** Returns the next request; empty if there is none now. */
  synchronized Optional<Request> next() {
    if (!asked.isEmpty()) {
      return Optional.of(Request.query(asked.remove()));
    }
    if (submitting && SoakRun.nowMs() >= nextSubmitMs) {
      nextSubmitMs = SoakRun.nowMs() + random.nextInt((int) (2 * submitEveryMs));
      return Optional.of(submit(newJob()));
    }
    if (jobs.isEmpty()) {
      return Optional.empty();
    }
    SoakJob job = drawJob();
    if (submitting && job.mayBeRepeated()) {
      return Optional.of(submit(job));
    } else if (submitting && job.accepted && random.nextInt(200) == 0) {
      job.cancelRequested = true;
      log.cancelSent(job.id(), SoakRun.nowMs());
      return Optional.of(new Request(job, "DELETE", ""));
    }
    return Optional.of(Request.query(job));
  }

  private SoakJob drawJob() {
    int newJobs = random.nextBoolean() ? Math.min(NEW_JOBS, jobs.size()) : jobs.size();
    return jobs.get(jobs.size() - 1 - random.nextInt(newJobs));
  }

  private Request submit(SoakJob job) {
    job.inFlight = true;
    return new Request(job, "POST", job.body());
  }

  private SoakJob newJob() {
    boolean lasting = jobs.size() < lastingJobs;
    SoakJob job =
        new SoakJob(
            String.format("%016x", random.nextLong()),
            lasting ? 1 : 1 + random.nextInt(MAX_PHASES),
            lasting ? LASTING_WIDTH : SHORT_WIDTH.draw(random),
            (lasting ? LASTING_CPU_MILLIS : SHORT_CPU_MILLIS).draw(random),
            lasting,
            lasting ? 0 : SHORT_TASK_MS.draw(random));
    jobs.add(job);
    checker.register(job);
    return job;
  }

  /** Notes how a request ended. */
  void ended(Request request, Exchange exchange) {
    log.add(exchange);
    switch (request.method()) {
      case "POST" -> submitted(request.job(), exchange);
      case "DELETE" -> cancelled(request.job(), exchange);
      default -> askAgainIfUnanswered(request.job(), exchange);
    }
  }

  private static void submitted(SoakJob job, Exchange exchange) {
    if (exchange.isSuccess()) {
      job.accepted = true;
    } else if (exchange.status() == 503 || exchange.status() == 429) {
      job.rejected = !job.outcomeUnknown && !job.accepted;
    } else {
      job.outcomeUnknown = true;
    }
    job.inFlight = false;
  }

  private static void cancelled(SoakJob job, Exchange exchange) {
    if (exchange.isSuccess() || exchange.status() == Exchange.GONE) {
      job.acknowledgeCancellation(
          new Acknowledgement(
              exchange.endMs(), exchange.node(), exchange.status(), job.submission()));
    }
  }

  /** Repeats a query of the end until its deadline. */
  private synchronized void askAgainIfUnanswered(SoakJob job, Exchange exchange) {
    if (!asking) {
      return;
    }
    long firstMs = firstAskedMs.computeIfAbsent(job.id(), id -> exchange.sentMs());
    if (!exchange.isSuccess()
        && exchange.status() != Exchange.GONE
        && SoakRun.nowMs() < firstMs + Exchange.DEADLINE_MS) {
      asked.add(job);
    }
  }
}
