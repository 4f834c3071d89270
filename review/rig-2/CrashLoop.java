import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Beside short jobs, the tasks of a service that lasts fail right after each start. */
final class CrashLoop {
  private static final Map<Shift.Kind, Double> TRAFFIC =
      Map.of(new Shift.Kind(2, 8, 300, 500, 500, 300), 3.0);

  private static final int WORKERS = 12;
  private static final int NODES = 3;
  private static final int TASKS_PER_JOB = 14;
  private static final double BEFORE_S = 12;
  private static final double AFTER_S = 40;
  private static final long FINISH_MS = 14_000;

  private CrashLoop() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv().getOrDefault("TROUBLE", "1"));
    int count = Integer.parseInt(System.getenv().getOrDefault("JOBS", "16"));
    int code = 2;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])));
        Shift shift = new Shift(Path.of(args[0]), record)) {
      Runtime.getRuntime().addShutdownHook(new Thread(shift::close));
      code = run(shift, count, trouble ? "fails 50" : "lasts");
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Shift shift, int count, String spec) throws Exception {
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
    List<Shift.Job> lasting = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Shift.Job job = shift.lastingJob(spec, TASKS_PER_JOB);
      lasting.add(job);
      shift.submit(job);
    }
    shift.say("lasting jobs: " + count + " of " + TASKS_PER_JOB + " tasks, " + spec);
    long begin = Platform.nowMs();
    shift.traffic(TRAFFIC, AFTER_S);
    double seconds = (Platform.nowMs() - begin) / 1000.0;
    int starts = lasting.stream().mapToInt(job -> job.starts).sum();
    shift.say("end of traffic: " + shift.summary());
    shift.say(String.format("starts of lasting tasks: %d, %.0f a second", starts, starts / seconds));
    Thread.sleep(FINISH_MS);
    lasting.forEach(job -> job.judged = false);
    return shift.judgeLost();
  }
}
