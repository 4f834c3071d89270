package org.plantainloom.soak;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A {@code plantainloom-node} in its own process, which can be killed, stopped and suspended. */
final class SoakNode implements AutoCloseable {
  private static final List<String> FLAGS =
      List.of(
          "-Xmx64m",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "-Dcom.linecorp.armeria.numCommonWorkers=1",
          "-Dcom.linecorp.armeria.tlsEngineType=jdk");
  private static final long STOP_TIMEOUT_S = 10;

  final String name;
  final String callerAddress;
  final String controlAddress;
  final FaultProxy storeProxy;
  private final Path settingsFile;
  private final File logFile;
  private Process process;
  private boolean endedByTest;
  private final AtomicInteger lives = new AtomicInteger();

  SoakNode(String name, Path directory, int storePort) throws IOException {
    this.name = name;
    this.storeProxy = FaultProxy.start(storePort);
    this.callerAddress = "127.0.0.1:" + PortRange.freePort();
    this.controlAddress = "127.0.0.1:" + PortRange.freePort();
    this.settingsFile = directory.resolve(name + ".jsonc");
    this.logFile = directory.resolve(name + ".log").toFile();
    Files.writeString(
        settingsFile,
        String.format(
            "{\"name\": \"%s\", \"callerAddress\": \"%s\", \"readinessAddress\": \"127.0.0.1:%d\","
                + "\"controlAddress\": \"%s\", \"storeAddress\": \"%s\","
                + "\"coreShare\": 1, \"coreSpeed\": 1, \"maxLeaseMs\": 6000, \"stopGraceMs\": 400, \"stopWithinS\": 6}",
            name, callerAddress, PortRange.freePort(), controlAddress, storeProxy.address()));
  }

  void start() throws IOException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + "/bin/java");
    command.addAll(FLAGS);
    command.add("-cp");
    command.add(classPath());
    command.add("org.plantainloom.program.node.NodeMain");
    command.addAll(List.of("--config", settingsFile.toString()));
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile))
            .start();
    endedByTest = false;
    lives.incrementAndGet();
  }

  /** Returns how often the process was started. */
  int life() {
    return lives.get();
  }

  /** Returns the class path of the nodes, with the classes of another release first on request. */
  private static String classPath() {
    String own =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    String otherRelease = System.getProperty("plantainloom.soak.node-classes", "");
    return otherRelease.isEmpty() ? own : otherRelease + File.pathSeparator + own;
  }

  /** Returns whether the process exited although the test did not end it. */
  boolean exitedUnexpectedly() {
    return !endedByTest && !process.isAlive();
  }

  void kill() throws InterruptedException {
    endedByTest = true;
    process.destroyForcibly().waitFor();
  }

  /** Stops the process gracefully, and kills it after a timeout. */
  void stop() throws InterruptedException {
    endedByTest = true;
    process.destroy();
    if (!process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
      process.destroyForcibly().waitFor();
    }
  }

  /** Asks the process to stop, without waiting until it is gone. */
  void requestStop() {
    endedByTest = true;
    process.destroy();
  }

  /** Waits for the exit of the process that was asked to stop, at most for a time. */
  boolean awaitExit(long timeoutMs) throws InterruptedException {
    return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
  }

  /** Suspends or resumes the process. */
  void suspend(boolean suspended) throws IOException, InterruptedException {
    signal(suspended ? "-STOP" : "-CONT");
  }

  /** Returns whether callers can connect. */
  boolean isListening() {
    int port = Integer.parseInt(callerAddress.substring(callerAddress.indexOf(':') + 1));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  /** Tells the process that its settings changed. */
  void hangUp() throws IOException, InterruptedException {
    signal("-HUP");
  }

  private void signal(String signal) throws IOException, InterruptedException {
    if (process.isAlive()) {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    }
  }

  @Override
  public void close() throws IOException {
    endedByTest = true;
    if (process != null) {
      process.destroyForcibly();
    }
    storeProxy.close();
  }
}
