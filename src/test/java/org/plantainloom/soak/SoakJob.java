package org.plantainloom.soak;

/** A job of the soak test: sequential phases of equal width, or long-running tasks. */
final class SoakJob {
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

  /** Time at which the cancellation was acknowledged; 0 if it was not. */
  volatile long cancelAcknowledgedMs;

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

  int width() {
    return width;
  }

  int cpuMillis() {
    return cpuMillis;
  }

  boolean longRunning() {
    return longRunning;
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
                  : ",\"estimate-ms\":" + (taskMs == 0 ? 300 : taskMs))
          .append(i == 0 ? "}" : ",\"after\":[" + (i - 1) + "]}");
    }
    return body.append("]}").toString();
  }
}
