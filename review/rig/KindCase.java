import java.util.List;

/** ROUTE: a worker that comes back as another kind gets tasks that require the kind that it had. */
final class KindCase {
  private static final int CYCLES = 5;
  private static final long DOWN_MS = 2_000;
  private static final long SETTLE_MS = 3_000;

  public static void main(String[] args) {
    Rig.run(KindCase::breaksRule);
  }

  private static boolean breaksRule(Rig rig) throws Exception {
    rig.configure();
    Worker changing = rig.worker("i-1", "z1", "a", 32_000);
    for (int i = 2; i <= 8; i++) {
      rig.worker("i-" + i, "z" + (1 + i % 3), "b", 32_000);
    }
    rig.awaitReady();
    // One task at a time fits on the only worker of kind a; the others wait for it.
    rig.submit(
        "00000000000000d1",
        "{\"spec\":\"ms=60000\",\"phases\":[{\"count\":20,\"cpu\":20000,\"mem-mb\":1024,"
            + "\"estimate-ms\":60000,\"constraints\":\"a\"}]}");
    Http.sleep(1_000);
    int broken = 0;
    for (int cycle = 1; cycle <= CYCLES; cycle++) {
      changing.crash();
      Http.sleep(DOWN_MS);
      int before = Rig.runs().size();
      changing.restart(List.of(rig.trouble ? "b" : "a", "r1-z1"));
      Http.sleep(SETTLE_MS);
      List<Worker.Run> started = Rig.runs().subList(before, Rig.runs().size());
      Log.line("rig", "cycle " + cycle + ": labels " + changing.labels() + ", starts of tasks that require a: " + started);
      broken += changing.labels().contains("a") ? 0 : started.size();
      if (rig.trouble) {
        changing.crash();
        Http.sleep(DOWN_MS);
        changing.restart(List.of("a", "r1-z1"));
        Http.sleep(SETTLE_MS);
      }
    }
    Log.line("rig", broken + " starts on a worker without the label that the task requires");
    return broken > 0;
  }
}
