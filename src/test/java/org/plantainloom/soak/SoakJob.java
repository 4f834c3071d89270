package org.plantainloom.soak;

import java.util.Optional;

/** A job of the soak test: sequential phases of equal width, or long-running tasks. */
final class SoakJob {
  private static final int DEFAULT_TASK_MS = 300;

  private final String id;
  private final int phases;
  private final int width;
  private final int cpuMillis;
  private final boolean longRunning;

  /** How long each task runs; 0 for the workers' default. */
  private final int taskMs;

  volatile boolean accepted;

  /** Whether a submission is waiting for its response. */
  volatile boolean inFlight;

  /** Whether all submissions were rejected without effect. */
  volatile boolean rejected;

  /** Whether a submission had no response, so that the job may exist. */
  volatile boolean outcomeUnknown;

  private volatile Optional<Acknowledgement> cancelAcknowledgement = Optional.empty();

  volatile boolean cancelRequested;

  SoakJob(String id, int phases, int width, int cpuMillis, boolean longRunning, int taskMs) {
    this.id = id;
    this.phases = phases;
    this.width = width;
    this.cpuMillis = cpuMillis;
    this.longRunning = longRunning;
    this.taskMs = taskMs;
  }

  String id() {
    return id;
  }

  int phases() {
    return phases;
  }

  int width() {
    return width;
  }

  int cpuMillis() {
    return cpuMillis;
  }

  boolean longRunning() {
    return longRunning;
  }

  /** Returns the processor time of all tasks, in milliseconds of a core. */
  long workMs() {
    return (long) phases * width * cpuMillis * (taskMs == 0 ? DEFAULT_TASK_MS : taskMs) / 1_000;
  }

  /** Returns the first acknowledgement of the job's cancellation. */
  Optional<Acknowledgement> cancelAcknowledgement() {
    return cancelAcknowledgement;
  }

  synchronized void acknowledgeCancellation(Acknowledgement acknowledgement) {
    if (cancelAcknowledgement.isEmpty()) {
      cancelAcknowledgement = Optional.of(acknowledgement);
    }
  }

  /** Returns whether the submission had no response, so that the caller sends it again. */
  boolean mayBeRepeated() {
    return outcomeUnknown && !accepted && !inFlight && !cancelRequested;
  }

  /** Returns what the caller knows of the submission. */
  String submission() {
    return accepted
        ? "accepted"
        : inFlight ? "not answered yet" : rejected ? "rejected" : "without a clear answer";
  }

  String payload() {
    String duration = taskMs == 0 ? "" : " for " + taskMs + " ms";
    return (longRunning ? "serve " : "work ") + id + duration;
  }

  String body() {
    StringBuilder body = new StringBuilder("{\"spec\":\"" + payload() + "\",\"phases\":[");
    for (int i = 0; i < phases; i++) {
      body.append(i == 0 ? "" : ",")
          .append("{\"count\":" + width + ",\"cpu\":" + cpuMillis + ",\"mem-mb\":64")
          .append(
              longRunning
                  ? ",\"long-running\":true"
                  : ",\"estimate-ms\":" + (taskMs == 0 ? DEFAULT_TASK_MS : taskMs))
          .append(i == 0 ? "}" : ",\"after\":[" + (i - 1) + "]}");
    }
    return body.append("]}").toString();
  }
}
