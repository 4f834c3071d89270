/** LOST: the owner's machine and a worker are gone for good at once; a task that lasts stays away too long. */
final class OwnerGoneCase {
  private static final int WORKERS = 8;
  private static final String JOB = "0000000000000aa1";

  /** A task that lasts is due from 6 s after its last run, and then has to run within 3 s. */
  private static final long BOUND_MS = 9_000;

  private static final long LIMIT_MS = 15_000;

  public static void main(String[] args) {
    Rig.run(OwnerGoneCase::breaksRule);
  }

  private static boolean breaksRule(Rig rig) throws Exception {
    rig.configure();
    for (int i = 1; i <= WORKERS; i++) {
      rig.worker("i-" + i, "z" + (1 + i % 3), "a", 32_000);
    }
    rig.awaitReady();
    rig.submit(
        JOB,
        "{\"spec\":\"lasts\",\"phases\":[{\"count\":1,\"cpu\":6400,\"mem-mb\":1024,\"long-running\":true,"
            + "\"estimate-ms\":320}]}");
    rig.await("the task runs", 10_000, () -> Rig.runs().size() == 1);
    Http.sleep(3_000);
    if (rig.trouble) {
      rig.owner().signal("KILL");
    }
    Rig.runs().get(0).worker.losePower();
    long lostMs = Http.nowMs();
    rig.holdsWithin(LIMIT_MS, () -> Rig.runs().size() > 1);
    long awayMs = Rig.runs().size() > 1 ? Rig.runs().get(1).startMs - lostMs : LIMIT_MS;
    Log.line("rig", "the task ran again " + awayMs + " ms after its worker was lost; 7 other workers were empty");
    return awayMs > BOUND_MS;
  }
}
