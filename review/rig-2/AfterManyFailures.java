import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The tasks of a job that lasts fail again and again, and all processes are killed some
 * time later. The progress that is stored then is what the nodes wrote in this run, with the
 * numbers of more failed runs.
 */
final class AfterManyFailures {
  private static final Map<Shift.Kind, Double> TRAFFIC =
      Map.of(new Shift.Kind(2, 8, 300, 500, 500, 300), 6.0);

  private static final int WORKERS = 4;
  private static final int NODES = 3;
  private static final int LASTING_TASKS = 14;

  /** How far the stored record is below the largest value when the processes start again. */
  private static final int ROOM_BYTES = 1_000;

  private static final double BEFORE_S = 15;
  private static final double AFTER_S = 50;
  private static final long FINISH_MS = 14_000;

  private AfterManyFailures() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv().getOrDefault("TROUBLE", "1"));
    int code = 2;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])));
        Shift shift = new Shift(Path.of(args[0]), record)) {
      Runtime.getRuntime().addShutdownHook(new Thread(shift::close));
      code = run(shift, trouble);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Shift shift, boolean trouble) throws Exception {
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
    Shift.Job failing = shift.lastingJob("fails 400", LASTING_TASKS);
    shift.submit(failing);
    long begin = Platform.nowMs();
    shift.traffic(TRAFFIC, BEFORE_S);
    String key = "pl/progress/" + failing.id;
    int failures = failures(shift.store.text(key));
    double perS = failures * 1000.0 / (Platform.nowMs() - begin);
    shift.say("before: " + shift.summary());
    shift.say(String.format("the job that fails: %d failures, %.1f a second", failures, perS));
    if (trouble) {
      for (Shift.Node node : shift.nodes) {
        shift.kill(node);
      }
      String grown = grown(shift.store.text(key));
      shift.store.put(key, grown);
      shift.say(
          String.format(
              "all processes killed; progress of %d bytes with %d failures, as after %.0f minutes",
              grown.length(), failures(grown), failures(grown) / perS / 60));
      Thread.sleep(1_000);
      for (Shift.Node node : shift.nodes) {
        shift.start(node);
      }
    }
    shift.traffic(TRAFFIC, AFTER_S);
    shift.say("end of traffic: " + shift.summary());
    Thread.sleep(FINISH_MS);
    shift.say("transactions refused as a value is too large: " + shift.store.refused);
    failing.judged = false;
    return shift.judgeLost();
  }

  private static int failures(String progress) throws Exception {
    int count = 0;
    if (!progress.isEmpty()) {
      for (JsonNode runs : Platform.JSON.readTree(progress).path("failures")) {
        count += runs.size();
      }
    }
    return count;
  }

  /** Adds numbers of failed runs in turn until little room is left for the value. */
  private static String grown(String progress) throws Exception {
    ObjectNode root = (ObjectNode) Platform.JSON.readTree(progress);
    long next = 1_000;
    int length = progress.length();
    while (length < Platform.Store.MAX_VALUE_BYTES - ROOM_BYTES) {
      for (Iterator<JsonNode> tasks = root.path("failures").iterator(); tasks.hasNext(); ) {
        ((ArrayNode) tasks.next()).add(next);
        length += Long.toString(next).length() + 1;
      }
      next++;
    }
    return root.toString();
  }
}
