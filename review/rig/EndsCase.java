/** TWICE: more ends wait at a worker than it lists at a time, while the store is down. */
final class EndsCase {
  private static final String JOB = "00000000000000a1";
  private static final int TASKS = 700;
  private static final long STORE_DOWN_MS = 4_500;

  public static void main(String[] args) {
    Rig.run(EndsCase::breaksRule);
  }

  private static boolean breaksRule(Rig rig) throws Exception {
    rig.configure();
    rig.worker("i-1", "z1", "a", 32_000);
    rig.worker("i-2", "z2", "a", 32_000);
    rig.worker("i-3", "z3", "b", 32_000);
    rig.awaitReady();
    rig.submit(
        JOB,
        "{\"spec\":\"ms=100\",\"phases\":[{\"count\":" + TASKS
            + ",\"cpu\":100,\"mem-mb\":16,\"estimate-ms\":100,\"constraints\":\"b\"}]}");
    if (rig.trouble) {
      Log.line("store", "down: answers each call with 503");
      rig.store.setBusy(true);
      Http.sleep(STORE_DOWN_MS);
      rig.store.setBusy(false);
      Log.line("store", "serves again");
    }
    rig.holdsWithin(20_000, () -> rig.state(rig.nodes.get(1), JOB).equals("completed") | pause());
    Http.sleep(2_000);
    Log.line("rig", "tasks " + TASKS + ", starts at workers " + Rig.runs().size());
    return Rig.countTwice(Http.nowMs()) > 0;
  }

  private static boolean pause() {
    Http.sleep(500);
    return false;
  }
}
