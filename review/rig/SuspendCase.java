/** LOST: tasks that last wait although a worker has had room for them for longer than the rule allows. */
final class SuspendCase {
  private static final int WORKERS = 12;
  private static final String JOB = "00000000000000c1";
  private static final int TASKS = 4;
  private static final int TASK_CPU = 6_400;
  private static final long UNHEALTHY_MS = 2_000;

  /** The rule looks at 3 s in which a task doesn't run, after 4 s that are calm, too. */
  private static final long CALM_MS = 7_000;

  /** A task that lasts is due from 6 s after its last run, here after it was accepted. */
  private static final long DUE_MS = 6_000;

  private static final long MARGIN_MS = 500;

  public static void main(String[] args) {
    Rig.run(SuspendCase::breaksRule);
  }

  private static boolean breaksRule(Rig rig) throws Exception {
    rig.configure();
    Worker free = Fill.allButOne(rig, WORKERS);
    if (rig.trouble) {
      free.setUnhealthy(true);
    }
    Http.sleep(100);
    rig.submit(
        JOB,
        "{\"spec\":\"lasts\",\"phases\":[{\"count\":" + TASKS + ",\"cpu\":" + TASK_CPU
            + ",\"mem-mb\":1024,\"long-running\":true,\"estimate-ms\":400}]}");
    long acceptedMs = Http.nowMs();
    Http.sleep(UNHEALTHY_MS);
    free.setUnhealthy(false);
    long calmSinceMs = Http.nowMs();
    long brokenAtMs = Math.max(calmSinceMs + CALM_MS, acceptedMs + DUE_MS + 3_000) + MARGIN_MS;
    Http.sleep(brokenAtMs - Http.nowMs());
    int notRunning = 0;
    for (int i = 0; i < TASKS; i++) {
      String task = JOB + ".0.0." + i;
      boolean runs = Rig.runs().stream().anyMatch(run -> run.task.equals(task));
      notRunning += runs ? 0 : 1;
    }
    Log.line("rig", (Http.nowMs() - acceptedMs) + " ms after the job was accepted and " + (Http.nowMs() - calmSinceMs)
        + " ms after the end of the impairment " + notRunning + " of its tasks have never run; " + free.id
        + " has been empty all the while, with room for " + Fill.CPU / TASK_CPU + " of them");
    rig.holdsWithin(15_000, () -> Rig.runs().stream().anyMatch(run -> run.task.startsWith(JOB)));
    Log.line("rig", "first start " + (Http.nowMs() - calmSinceMs) + " ms after the end of the impairment");
    return notRunning > 0;
  }
}
