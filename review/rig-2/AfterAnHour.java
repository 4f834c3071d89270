import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All processes are killed at one moment, some time after the start of traffic, and run
 * again. The records of the jobs that ended before are those that the nodes wrote in this run,
 * under other ids.
 */
final class AfterAnHour {
  /** The rates and means of the sheet of hengtai-leafweigh. */
  static final Map<Shift.Kind, Double> TRAFFIC =
      Map.of(
          new Shift.Kind(1.6, 6, 1_000, 2_100, 4_200, 300), 3.11,
          new Shift.Kind(2, 8, 2_700, 3_500, 6_400, 1_000), 2.99);

  private static final double JOBS_PER_S = 3.11 + 2.99;
  static final int WORKERS = 33;
  static final int NODES = 3;

  /** The nodes remove 10 finished jobs each 5 s, which have ended 150 s before. */
  private static final double REMOVED_PER_S = 2;

  private static final int KEPT_S = 150;

  private static final double BEFORE_S = 25;
  private static final double AFTER_S = 25;
  private static final long FINISH_MS = 14_000;

  private AfterAnHour() {}

  /** Returns how many jobs are stored after some time of traffic. */
  private static int storedAfter(int seconds) {
    return (int) (JOBS_PER_S * seconds - REMOVED_PER_S * Math.max(0, seconds - KEPT_S));
  }

  public static void main(String[] args) throws Exception {
    Path repository = Path.of(args[0]);
    boolean trouble = !"0".equals(System.getenv().getOrDefault("TROUBLE", "1"));
    int historyS = Integer.parseInt(System.getenv().getOrDefault("HISTORY_S", "3600"));
    int code = 2;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])));
        Shift shift = new Shift(repository, record)) {
      Runtime.getRuntime().addShutdownHook(new Thread(shift::close));
      code = run(shift, trouble, historyS);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Shift shift, boolean trouble, int historyS) throws Exception {
    shift.startWorkers(WORKERS);
    shift.configure();
    shift.addNodes(NODES, 1);
    for (Shift.Node node : shift.nodes) {
      shift.start(node);
    }
    if (!shift.awaitServing(20_000)) {
      shift.say("the nodes do not serve");
      return 2;
    }
    shift.traffic(TRAFFIC, BEFORE_S);
    shift.say("before: " + shift.summary());
    if (trouble) {
      for (Shift.Node node : shift.nodes) {
        shift.kill(node);
      }
      addHistory(shift, storedAfter(historyS));
      Thread.sleep(1_000);
      for (Shift.Node node : shift.nodes) {
        shift.start(node);
      }
      shift.say(
          "all processes killed and started again, "
              + shift.store.count("pl/job/")
              + " jobs stored, as after "
              + historyS
              + " s of traffic");
    }
    shift.traffic(TRAFFIC, AFTER_S);
    shift.say("end of traffic: " + shift.summary());
    Thread.sleep(FINISH_MS);
    return shift.judgeLost();
  }

  /** Stores what earlier traffic has left: copies of finished jobs of this run, with other ids. */
  private static void addHistory(Shift shift, int count) {
    Map<String, String> finished = new LinkedHashMap<>();
    for (Shift.Job job : shift.accepted()) {
      if (shift.store.text("pl/progress/" + job.id).contains("\"COMPLETED\"")) {
        finished.put(job.id, shift.store.text("pl/job/" + job.id));
      }
    }
    List<String> ids = new ArrayList<>(finished.keySet());
    shift.say("history: copies of " + ids.size() + " finished jobs");
    int missing = count - shift.store.count("pl/job/");
    for (int i = 0; i < missing; i++) {
      String from = ids.get(i % ids.size());
      String id = String.format("%016x", 0x1000000000000000L + i * 0x9e3779b1L);
      shift.store.put("pl/job/" + id, finished.get(from).replace(from, id));
      shift.store.put("pl/progress/" + id, shift.store.text("pl/progress/" + from));
    }
  }
}
