import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Workers crash, one at a time, and are back under their id at once, while the store is slow. */
final class QuickRestart {
  private static final Map<Shift.Kind, Double> TRAFFIC =
      Map.of(new Shift.Kind(1, 4, 100, 800, 500, 300), 60.0);

  private static final int WORKERS = 8;
  private static final int NODES = 3;

  /** Sixty times the usual 4 ms; slow for 4 s at a time. */
  private static final long SLOW_MS = 240;

  private static final double SLOW_S = 4.0;
  private static final double USUAL_S = 0.5;
  private static final int ROUNDS = 14;

  private QuickRestart() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv().getOrDefault("TROUBLE", "1"));
    long downMs = Long.parseLong(System.getenv().getOrDefault("DOWN_MS", "20"));
    boolean slow = !"0".equals(System.getenv().getOrDefault("SLOW", "1"));
    int code = 2;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])));
        Shift shift = new Shift(Path.of(args[0]), record)) {
      Runtime.getRuntime().addShutdownHook(new Thread(shift::close));
      code = run(shift, trouble, downMs, slow);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Shift shift, boolean trouble, long downMs, boolean slow) throws Exception {
    shift.store.delayMs = 4;
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
    shift.traffic(TRAFFIC, 5);
    for (int round = 0; round < ROUNDS; round++) {
      shift.store.delayMs = trouble && slow ? SLOW_MS : 4;
      shift.traffic(TRAFFIC, SLOW_S / 3);
      for (int crash = 0; crash < 2; crash++) {
        if (trouble) {
          Platform.Worker worker = shift.workers.get((2 * round + crash) % WORKERS);
          shift.note("crash of " + worker.id);
          worker.crash(downMs);
        }
        shift.traffic(TRAFFIC, SLOW_S / 3);
      }
      shift.store.delayMs = 4;
      shift.traffic(TRAFFIC, USUAL_S);
    }
    shift.say("end of traffic: " + shift.summary());
    Thread.sleep(5_000);
    return shift.judgeTwice();
  }
}
