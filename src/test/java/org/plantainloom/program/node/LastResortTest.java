package org.plantainloom.program.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.plantainloom.program.ExitCode;
import org.plantainloom.transport.duty.EventLoop;
import org.testng.annotations.Test;

/** Tests with real processes that one which cannot go on ends, and says why. */
public class LastResortTest {
  /** Limit of a wait; no test asserts how long a wait takes. */
  private static final long AWAIT_TIMEOUT_S = 60;

  private static final int BLOCK_BYTES = 64 * 1024;

  /** Fills the heap of a process, on its event loop or beside it. */
  static final class FullHeap {
    private static final List<byte[]> BLOCKS = new ArrayList<>();

    private FullHeap() {}

    /** Runs the program; its argument is what fills the heap. */
    public static void main(String[] args) throws InterruptedException {
      LastResort lastResort = LastResort.start("n-1");
      EventLoop loop =
          EventLoop.start(
              "node",
              25,
              () -> {},
              error -> {
                BLOCKS.clear();
                lastResort.end("out of memory");
              });
      lastResort.watch(
          new LastResort.Source() {
            @Override
            public long tickCount() {
              return loop.tickCount();
            }

            @Override
            public void giveUp() {
              System.out.println("given up");
            }
          });
      if (args[0].equals("loop")) {
        loop.execute(() -> fill(Long.MAX_VALUE));
      } else {
        fill(Runtime.getRuntime().maxMemory() / 100);
      }
      TimeUnit.SECONDS.sleep(AWAIT_TIMEOUT_S);
    }

    private static void fill(long bytesLeft) {
      Runtime runtime = Runtime.getRuntime();
      while (bytesLeft == Long.MAX_VALUE
          || runtime.maxMemory() - runtime.totalMemory() + runtime.freeMemory() > bytesLeft) {
        BLOCKS.add(new byte[BLOCK_BYTES]);
      }
    }
  }

  private static String outputOf(String filledBy) throws Exception {
    File output = Files.createTempFile("plantainloom-last-resort", ".log").toFile();
    try {
      Process process =
          new ProcessBuilder(
                  System.getProperty("java.home") + "/bin/java",
                  "-Xmx24m",
                  "-XX:+UseSerialGC",
                  "-cp",
                  System.getProperty(
                      "surefire.test.class.path", System.getProperty("java.class.path")),
                  FullHeap.class.getName(),
                  filledBy)
              .redirectErrorStream(true)
              .redirectOutput(output)
              .start();
      boolean ended = process.waitFor(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
      process.destroyForcibly();
      String text = Files.readString(output.toPath(), StandardCharsets.UTF_8);
      assertThat(ended).as(text).isTrue();
      assertThat(process.exitValue()).as(text).isEqualTo(ExitCode.FAILED.code());
      return text;
    } finally {
      Files.delete(output.toPath());
    }
  }

  /** Regression (LOST, review/6): processes without memory lived on, and nothing restarted them. */
  @Test
  public void should_end_a_process_whose_event_loop_finds_no_memory() throws Exception {
    assertThat(outputOf("loop")).contains("event=process-ended node=n-1 reason=out of memory");
  }

  @Test
  public void should_end_a_process_whose_heap_stays_full() throws Exception {
    assertThat(outputOf("beside"))
        .contains("given up")
        .contains("event=process-ended node=n-1 reason=heap full: ");
  }
}
