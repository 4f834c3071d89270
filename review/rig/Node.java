import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node of the system: the command of the deploy file, with its template of settings filled in. */
final class Node {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z.-]+)\\|json\\}\\}");

  private static final int FIRST_PORT = 10_000;
  private static final int LAST_PORT = 30_000;
  private static final Random PORTS = new Random();

  final String name;
  final String callers;
  final String readiness;
  private final Process process;

  Node(Path root, Path folder, String name, String storeAddress) throws Exception {
    this.name = name;
    this.callers = freeAddress();
    this.readiness = freeAddress();
    Map<String, String> fields =
        Map.of(
            "node-name", "\"" + name + "\"",
            "listen.frontend", "\"" + callers + "\"",
            "listen.readiness", "\"" + readiness + "\"",
            "listen.control", "\"" + freeAddress() + "\"",
            "platform.address", "\"" + storeAddress + "\"",
            "limits.cpu-share", "0.75",
            "limits.cores", "1",
            "bounds.max-hold-ms", Long.toString(Worker.MAX_HOLD_MS),
            "bounds.kill-grace-ms", "200",
            "bounds.grace-s", "6");
    Matcher template = PLACEHOLDER.matcher(Files.readString(root.resolve("deploy/node.jsonc")));
    StringBuilder settings = new StringBuilder();
    while (template.find()) {
      template.appendReplacement(settings, Matcher.quoteReplacement(fields.get(template.group(1))));
    }
    template.appendTail(settings);
    Path file = Files.writeString(folder.resolve(name + ".jsonc"), settings);
    Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IllegalStateException("no command in the deploy file");
    }
    List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
    ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile()).redirectErrorStream(true);
    builder.redirectOutput(folder.resolve(name + ".log").toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("PLANTAINLOOM_BOOT", file.toString());
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  /** Returns a free port below the range from which outgoing connections take theirs. */
  private static String freeAddress() {
    while (true) {
      int port = FIRST_PORT + PORTS.nextInt(LAST_PORT - FIRST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return "127.0.0.1:" + socket.getLocalPort();
      } catch (IOException e) {
        // In use; the next one may be free.
      }
    }
  }

  /** Ends the process and waits until it is gone. */
  void end() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends a signal to the process, such as KILL or STOP. */
  void signal(String signal) throws Exception {
    Log.line(name, "SIG" + signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }
}
