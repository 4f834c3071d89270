import java.util.ArrayList;
import java.util.List;

/** Fills workers with long work. */
final class Fill {
  static final int CPU = 32_000;

  private Fill() {}

  /** Creates workers, fills all of them but one with tasks that last, and returns that one. */
  static Worker allButOne(Rig rig, int count) throws Exception {
    for (int i = 1; i <= count; i++) {
      rig.worker("i-" + i, "z" + (1 + i % 3), "a", CPU);
    }
    rig.awaitReady();
    rig.submit(
        "00000000000000f1",
        "{\"spec\":\"lasts\",\"phases\":[{\"count\":" + (count - 1) + ",\"cpu\":" + (CPU - 500)
            + ",\"mem-mb\":1024,\"anti-affinity\":1,\"long-running\":true,\"estimate-ms\":1000}]}");
    rig.await("the other workers are full", 10_000, () -> Rig.runs().size() == count - 1);
    List<Worker> empty = new ArrayList<>(rig.workers);
    Rig.runs().forEach(run -> empty.remove(run.worker));
    Http.sleep(1_000);
    return empty.get(0);
  }
}
