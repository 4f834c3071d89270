package org.plantainloom.program.node;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.plantainloom.program.ExitCode;
import org.plantainloom.transport.duty.VitalSigns;

/**
 * Ends a process that cannot go on, with one line that says why, so that the platform starts it
 * again. Created while there is memory: its thread waits for the reason, and watches for one.
 */
final class LastResort {
  /** Time for the call that gives up the ownership; without it, the ownership lapses in 3 s. */
  private static final long GIVE_UP_MS = 300;

  private final String nodeName;
  private final AtomicReference<String> reason = new AtomicReference<>();
  private final VitalSigns vitalSigns = new VitalSigns();
  private volatile Optional<Source> source = Optional.empty();

  /** The node that is watched. */
  interface Source {
    /** Returns a number that changes while the event loop turns. */
    long tickCount();

    /** Has the node give up the ownership, if it still can. */
    void giveUp();
  }

  private LastResort(String nodeName) {
    this.nodeName = nodeName;
  }

  /** Starts the thread that ends this process. */
  static LastResort start(String nodeName) {
    LastResort lastResort = new LastResort(nodeName);
    Thread thread = new Thread(lastResort::run, "last-resort");
    thread.setDaemon(true);
    thread.start();
    return lastResort;
  }

  /** Watches a node from now on. */
  void watch(Source node) {
    source = Optional.of(node);
  }

  /** Has the process end, once the node has given up the ownership. */
  void end(String why) {
    reason.compareAndSet(null, why);
  }

  private void run() {
    try {
      long sampledNanos = System.nanoTime();
      while (reason.get() == null) {
        Thread.sleep(VitalSigns.SAMPLE_INTERVAL_MS);
        long elapsedMs = (System.nanoTime() - sampledNanos) / 1_000_000;
        sampledNanos = System.nanoTime();
        source.flatMap(node -> sample(node, elapsedMs)).ifPresent(this::giveUpAndEnd);
      }
      Thread.sleep(GIVE_UP_MS);
    } catch (InterruptedException | OutOfMemoryError e) {
      end(e.toString());
    } finally {
      System.err.println("event=process-ended node=" + nodeName + " reason=" + reason.get());
      Runtime.getRuntime().halt(ExitCode.FAILED.code());
    }
  }

  private Optional<String> sample(Source node, long elapsedMs) {
    Runtime runtime = Runtime.getRuntime();
    return vitalSigns.sample(
        elapsedMs,
        runtime.totalMemory() - runtime.freeMemory(),
        runtime.maxMemory(),
        node.tickCount());
  }

  private void giveUpAndEnd(String why) {
    source.ifPresent(Source::giveUp);
    end(why);
  }
}
