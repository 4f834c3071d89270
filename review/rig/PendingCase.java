import java.util.HashSet;
import java.util.Set;

/** MIXED: the number of pending jobs leaves out jobs whose start a worker has turned away. */
final class PendingCase {
  private static final int WORKERS = 12;
  private static final int JOBS = 10;
  private static final long UNHEALTHY_MS = 6_500;

  /** visible_ms and the 2 s that the count may be old. */
  private static final long COUNTED_AFTER_MS = 5_000;

  private static final long SETTLE_MS = 600;

  /** The last free worker is busy for this long. */
  private static final long LAST_WORK_MS = 4_000;

  private static final long UNHEALTHY_AFTER_MS = 2_000;

  public static void main(String[] args) {
    Rig.run(PendingCase::breaksRule);
  }

  private static boolean breaksRule(Rig rig) throws Exception {
    rig.configure();
    Worker free = Fill.allButOne(rig, WORKERS);
    rig.submit(
        "00000000000000f2",
        "{\"spec\":\"ms=" + LAST_WORK_MS + "\",\"phases\":[{\"count\":1,\"cpu\":" + (Fill.CPU - 500)
            + ",\"mem-mb\":1024,\"estimate-ms\":" + LAST_WORK_MS + "}]}");
    rig.await("all workers are full", 5_000, () -> free.running().size() == 1);
    for (int i = 0; i < JOBS; i++) {
      rig.submit(
          "00000000000000b" + i,
          "{\"spec\":\"ms=60000\",\"phases\":[{\"count\":1,\"cpu\":2000,\"mem-mb\":256,\"estimate-ms\":60000}]}");
    }
    long acceptedMs = Http.nowMs();
    Http.sleep(UNHEALTHY_AFTER_MS);
    if (rig.trouble) {
      free.setUnhealthy(true);
    }
    long sickSinceMs = Http.nowMs();
    Http.sleep(acceptedMs + COUNTED_AFTER_MS + SETTLE_MS - Http.nowMs());
    Set<String> begun = new HashSet<>();
    Rig.runs().forEach(run -> begun.add(run.task.substring(0, run.task.indexOf('.'))));
    int waiting = 0;
    for (int i = 0; i < JOBS; i++) {
      waiting += begun.contains("00000000000000b" + i) ? 0 : 1;
    }
    boolean broken = false;
    for (Node node : rig.nodes) {
      int pending = rig.pending(node);
      Log.line("rig", node.name + " gives " + pending + " as pending; " + waiting + " jobs wait since more than "
          + COUNTED_AFTER_MS + " ms and have not begun; starts turned away: " + free.refusedStarts());
      broken |= pending >= 0 && 2 * pending < waiting;
    }
    Http.sleep(sickSinceMs + UNHEALTHY_MS - Http.nowMs());
    free.setUnhealthy(false);
    return broken;
  }
}
