import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Beside tasks that serve, short tasks come whose steps name ever new images. */
final class ManyImages {
  private static final int WORKERS = 12;
  private static final int NODES = 3;
  private static final int SERVING_IMAGES = 10;
  private static final int FILL_IMAGES = 9;
  private static final long INTERVAL_MS = 80;
  private static final long TRAFFIC_MS = 70_000;
  private static final long FINISH_MS = 14_000;

  private ManyImages() {}

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
    List<Shift.Job> serving = new ArrayList<>();
    for (int i = 0; i < SERVING_IMAGES; i++) {
      serving.add(shift.servingJob("serve-" + i));
      shift.submit(serving.get(i));
    }
    long begin = Platform.nowMs();
    int sent = 0;
    while (Platform.nowMs() - begin < TRAFFIC_MS) {
      String image = "batch-" + (trouble ? sent : sent % FILL_IMAGES);
      Platform.THREADS.execute(() -> shift.submit(shift.fillJob(image)));
      sent++;
      Thread.sleep(INTERVAL_MS);
    }
    shift.say("end of traffic, " + sent + " short jobs: " + shift.summary());
    Thread.sleep(FINISH_MS);
    serving.forEach(job -> job.judged = false);
    return shift.judgeLost();
  }
}
