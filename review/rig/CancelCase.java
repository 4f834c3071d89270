import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** UNASKED: a job runs seconds after its cancelling was acknowledged, as its submission is stored late. */
final class CancelCase {
  private static final int WORKERS = 6;
  private static final int JOBS = 40;
  private static final long LOSS_MS = 4_500;
  private static final long SUBMIT_AFTER_MS = 2_500;
  private static final long SUBMIT_INTERVAL_MS = 40;
  private static final long CANCEL_MS = 3_000;
  private static final long CONTACT_MS = 3_000;

  public static void main(String[] args) {
    Rig.run(CancelCase::breaksRule);
  }

  private static boolean breaksRule(Rig rig) throws Exception {
    rig.configure();
    for (int i = 1; i <= WORKERS; i++) {
      rig.worker("i-" + i, "z" + (1 + i % 3), "a", 32_000);
    }
    rig.awaitReady();
    if (rig.trouble) {
      rig.store.loseWrites(0.35);
    }
    long lossSinceMs = Http.nowMs();
    Http.sleep(SUBMIT_AFTER_MS);
    Map<String, Long> cancelledMs = new ConcurrentHashMap<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("%016x", 0xca00 + i);
      Node node = rig.nodes.get(i % rig.nodes.size());
      Thread client = new Thread(() -> giveUp(rig, node, id, cancelledMs));
      client.setDaemon(true);
      client.start();
      Http.sleep(SUBMIT_INTERVAL_MS);
    }
    Http.sleep(lossSinceMs + LOSS_MS - Http.nowMs());
    if (rig.trouble) {
      rig.store.loseWrites(0);
    }
    long stableMs = Http.nowMs() + CONTACT_MS;
    Http.sleep(9_000);
    int broken = 0;
    for (Worker.Run run : Rig.runs()) {
      Long ackMs = cancelledMs.get(run.task.substring(0, run.task.indexOf('.')));
      if (ackMs != null && run.startMs > ackMs + CANCEL_MS && run.startMs > stableMs) {
        broken++;
        Log.line("UNASKED", run + ", its cancelling was acknowledged at " + Log.seconds(ackMs));
      }
    }
    Log.line("rig", broken + " starts later than cancel_ms after the ack, by machines in touch");
    return broken > 0;
  }

  /** A client that gets no clear answer to its submission, and cancels the job to be sure. */
  private static void giveUp(Rig rig, Node node, String id, Map<String, Long> cancelledMs) {
    int status =
        rig.call(
            node,
            "POST",
            id,
            "{\"spec\":\"ms=20000\",\"phases\":[{\"count\":1,\"cpu\":500,\"mem-mb\":64,\"estimate-ms\":20000}]}");
    if (status != 504 && status != 0) {
      return;
    }
    for (int attempt = 0; attempt < 20; attempt++) {
      int reply = rig.call(rig.nodes.get((attempt + 1) % rig.nodes.size()), "DELETE", id, "");
      if (reply == 200 || reply == 410) {
        cancelledMs.put(id, Http.nowMs());
        return;
      }
      Http.sleep(200);
    }
  }
}
