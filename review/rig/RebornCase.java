import java.util.concurrent.atomic.AtomicBoolean;

/** TWICE: a worker loses power and soon starts again under its id; what has run there runs again. */
final class RebornCase {
  private static final int WORKERS = 8;
  private static final long DOWN_MS = 1_000;
  private static final long INTERVAL_MS = 100;
  private static final int CYCLES = 1;
  private static final long CYCLE_MS = 4_000;

  public static void main(String[] args) {
    Rig.run(RebornCase::breaksRule);
  }

  private static boolean breaksRule(Rig rig) throws Exception {
    rig.configure();
    for (int i = 1; i <= WORKERS; i++) {
      rig.worker("i-" + i, "z" + (1 + i % 3), i == 1 ? "b" : "a", 32_000);
    }
    rig.awaitReady();
    AtomicBoolean stopped = new AtomicBoolean();
    Thread client = new Thread(() -> submitForever(rig, stopped), "client");
    client.start();
    Http.sleep(3_000);
    for (int cycle = 0; cycle < CYCLES; cycle++) {
      Worker worker = rig.workers.get(0);
      if (rig.trouble) {
        worker.losePower();
        Http.sleep(DOWN_MS);
        worker.restart(worker.labels());
      }
      Http.sleep(CYCLE_MS);
    }
    stopped.set(true);
    client.join();
    Http.sleep(5_000);
    Log.line("rig", "starts at workers " + Rig.runs().size());
    return Rig.countTwice(Http.nowMs()) > 0;
  }

  private static void submitForever(Rig rig, AtomicBoolean stopped) {
    long nextMs = Http.nowMs();
    for (int i = 0; !stopped.get(); i++) {
      rig.submit(
          String.format("%016x", 0xf000 + i),
          "{\"spec\":\"ms=100\",\"phases\":[{\"count\":1,\"cpu\":500,\"mem-mb\":64,\"estimate-ms\":100,"
              + "\"constraints\":\"b\"}]}");
      nextMs += INTERVAL_MS;
      Http.sleep(nextMs - Http.nowMs());
    }
  }
}
