package org.plantainloom.soak;

/** A job of the soak: phases of equal width one after the other, or tasks that last. */
final class SoakJob {
  private final String id;
  private final int phases;
  private final int width;
  private final int cpuMillis;
  private final boolean lasting;
  volatile boolean accepted;

  /** Whether a try to hand it in waits for its answer. */
  volatile boolean inFlight;

  /** Whether each try to hand it in was refused as not run. */
  volatile boolean refused;

  /** Whether a try had no answer, so that the job may exist. */
  volatile boolean unknown;

  /** When its cancellation was acknowledged; 0 if it was not. */
  volatile long cancelledMs;

  volatile boolean cancelTried;

  SoakJob(String id, int phases, int width, int cpuMillis, boolean lasting) {
    this.id = id;
    this.phases = phases;
    this.width = width;
    this.cpuMillis = cpuMillis;
    this.lasting = lasting;
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

  boolean lasting() {
    return lasting;
  }

  String payload() {
    return (lasting ? "serve " : "work ") + id;
  }

  String body() {
    StringBuilder body = new StringBuilder("{\"spec\":\"" + payload() + "\",\"phases\":[");
    for (int i = 0; i < phases; i++) {
      body.append(i == 0 ? "" : ",")
          .append("{\"count\":" + width + ",\"cpu\":" + cpuMillis + ",\"mem-mb\":64")
          .append(lasting ? ",\"long-running\":true" : ",\"estimate-ms\":300")
          .append(i == 0 ? "}" : ",\"after\":[" + (i - 1) + "]}");
    }
    return body.append("]}").toString();
  }
}
