import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case. */
final class Log {
  private static final long STARTED_MS = Http.nowMs();
  private static PrintWriter out;

  private Log() {}

  static void open(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  static double seconds(long ms) {
    return (ms - STARTED_MS) / 1000.0;
  }

  static synchronized void line(String who, String text) {
    out.printf("%9.3f %-8s %s%n", seconds(Http.nowMs()), who, text);
  }
}
