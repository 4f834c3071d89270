import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Beside short jobs, callers hand in jobs that run once a minute for a week. */
final class AfterSchedules {
  private static final Map<Shift.Kind, Double> TRAFFIC =
      Map.of(new Shift.Kind(2, 8, 300, 500, 500, 300), 3.0);

  private static final int WORKERS = 4;
  private static final int NODES = 3;

  /** Once a minute for a week. */
  private static final int TIMES = 7 * 24 * 60;

  private static final long PERIOD_MS = 60_000;
  private static final double BEFORE_S = 15;
  private static final double AFTER_S = 40;
  private static final long FINISH_MS = 14_000;

  private AfterSchedules() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv().getOrDefault("TROUBLE", "1"));
    int count = Integer.parseInt(System.getenv().getOrDefault("SCHEDULES", "14"));
    int code = 2;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])));
        Shift shift = new Shift(Path.of(args[0]), record)) {
      Runtime.getRuntime().addShutdownHook(new Thread(shift::close));
      code = run(shift, trouble ? count : 0);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Shift shift, int schedules) throws Exception {
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
    List<Shift.Job> scheduled = new ArrayList<>();
    for (int i = 0; i < schedules; i++) {
      Shift.Job job = shift.scheduledJob("work 300", TIMES, PERIOD_MS);
      scheduled.add(job);
      shift.submit(job);
      shift.traffic(TRAFFIC, 1);
    }
    long accepted = scheduled.stream().filter(job -> job.acceptedMs >= 0).count();
    shift.say("scheduled jobs of " + TIMES + " times: " + accepted + " accepted of " + schedules);
    shift.traffic(TRAFFIC, AFTER_S - schedules);
    shift.say("end of traffic: " + shift.summary());
    Thread.sleep(FINISH_MS);
    scheduled.forEach(job -> job.judged = false);
    return shift.judgeLost();
  }
}
