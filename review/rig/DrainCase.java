/** TWICE: a worker that drains and is cut off is given up before its lease has ended. */
final class DrainCase {
  private static final int WORKERS = 16;
  private static final int TASKS = 32;
  private static final String JOB = "00000000000000e1";
  private static final long CUT_AFTER_DRAIN_MS = 1_000;
  private static final long STOP_AFTER_CUT_MS = 300;
  private static final long STORE_CUT_MS = 5_000;
  private static final long MACHINES_CUT_MS = 5_500;

  public static void main(String[] args) {
    Rig.run(DrainCase::breaksRule);
  }

  private static boolean breaksRule(Rig rig) throws Exception {
    rig.configure();
    for (int i = 1; i <= WORKERS; i++) {
      rig.worker("i-" + i, "z" + (1 + i % 3), "a", 32_000);
    }
    rig.awaitReady();
    rig.submit(
        JOB,
        "{\"spec\":\"ms=40000\",\"phases\":[{\"count\":" + TASKS + ",\"cpu\":2000,\"mem-mb\":1024,\"estimate-ms\":40000}]}");
    rig.await("all tasks run", 10_000, () -> Rig.runs().size() == TASKS);
    Http.sleep(2_000);
    Worker leaving = Rig.runs().get(0).worker;
    Node owner = rig.owner();
    leaving.drain();
    Http.sleep(CUT_AFTER_DRAIN_MS);
    if (rig.trouble) {
      leaving.setCut(true);
      leaving.setCutFromStore(true);
      Log.line("rig", "lease of " + leaving.id + " ends in " + leaving.leaseLeftMs() + " ms, its last report was "
          + leaving.sinceBeatMs() + " ms ago");
    }
    Http.sleep(STOP_AFTER_CUT_MS);
    owner.signal("TERM");
    Http.sleep(STORE_CUT_MS - STOP_AFTER_CUT_MS);
    if (rig.trouble) {
      leaving.setCutFromStore(false);
    }
    Http.sleep(MACHINES_CUT_MS - STORE_CUT_MS);
    if (rig.trouble) {
      leaving.setCut(false);
    }
    Http.sleep(1_000);
    return Rig.countTwice(Http.nowMs()) > 0;
  }
}
