import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Not a case: the traffic of {@link AfterAnHour} on its own, and how the stored jobs grow. */
final class Growth {
  private static final long INTERVAL_MS = 10_000;

  private Growth() {}

  public static void main(String[] args) throws Exception {
    try (PrintWriter none = new PrintWriter(OutputStream.nullOutputStream());
        Shift shift = new Shift(Path.of(args[0]), none)) {
      Runtime.getRuntime().addShutdownHook(new Thread(shift::close));
      shift.startWorkers(AfterAnHour.WORKERS);
      shift.configure();
      shift.addNodes(AfterAnHour.NODES, 1);
      for (Shift.Node node : shift.nodes) {
        shift.start(node);
      }
      shift.awaitServing(20_000);
      Thread report = new Thread(() -> report(shift));
      report.setDaemon(true);
      report.start();
      shift.traffic(AfterAnHour.TRAFFIC, Double.parseDouble(args[1]));
    }
    System.exit(0);
  }

  private static void report(Shift shift) {
    while (true) {
      try {
        Thread.sleep(INTERVAL_MS);
      } catch (InterruptedException e) {
        return;
      }
      long now = Platform.nowMs();
      long idle =
          shift.accepted().stream()
              .filter(job -> now - job.acceptedMs > 5_000 && job.firstStartMs < 0)
              .count();
      shift.say(
          shift.summary() + ", never started for 5 s: " + idle + ", stored: "
              + shift.store.count("pl/job/"));
    }
  }
}
