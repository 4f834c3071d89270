package org.plantainloom.transport.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import org.plantainloom.coordination.dispatch.DecisionLog;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.coordination.dispatch.Dispatcher;
import org.plantainloom.coordination.dispatch.OwnershipLease;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.job.JobProgress;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.plantainloom.state.job.PhaseSpec;
import org.plantainloom.support.MessageMutator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which values are taken for the records of a job. */
public class StoredJobTest {
  private static final int MESSAGES = 4_000;
  private static final String ID = "00000000000000aa";

  private static final JobSpec JOB =
      new JobSpec(ID, "q", "text", List.of(phase(9), phase(4, 0)), 1_000, 2_000, 300, 3);

  private static PhaseSpec phase(int count, Integer... after) {
    return new PhaseSpec(
        count,
        new ResourceVector(500, 64, 0),
        900,
        List.of(after),
        false,
        false,
        false,
        "",
        "",
        0,
        false,
        false,
        "image",
        0,
        false,
        -1);
  }

  private static String damaged(Object record, String part, String replacement) {
    String text = Json.write(record);
    assertThat(text).contains(part);
    return text.replace(part, replacement);
  }

  /** A new owner, to which records are passed as after a takeover. */
  private static Dispatcher dispatcher() {
    DecisionLog log = (event, subject, detail) -> {};
    OwnershipLease ownership = new OwnershipLease();
    ownership.confirm(20_000, 1_000_000);
    return new Dispatcher(2, DispatchPolicy.of(6_000, 400), ownership, log, 1_000);
  }

  /** Records of accepted jobs. */
  public static class Jobs {
    @Test
    public void should_read_an_intact_job() {
      assertThat(StoredJob.parse(ID, Json.write(JOB))).isEqualTo(JOB);
    }

    @DataProvider
    public static Object[][] damagedJobs() {
      return new Object[][] {
        {""},
        {"null"},
        {"{}"},
        {Json.write(JOB) + "}"},
        {"[".repeat(200_000)},
        {"{\"phases\":" + "[".repeat(200_000)},
        {damaged(JOB, ID, "00000000000000bb")},
        {damaged(JOB, "\"q\"", "null")},
        {damaged(JOB, "\"text\"", "null")},
        {damaged(JOB, "\"phases\"", "\"phase\"")},
        {damaged(JOB, "\"need\"", "\"needs\"")},
        {damaged(JOB, "\"after\":[0]", "\"after\":null")},
        {damaged(JOB, "\"after\":[0]", "\"after\":[null]")},
        {damaged(JOB, "\"after\":[0]", "\"after\":[1]")},
        {damaged(JOB, "\"after\":[0]", "\"after\":[-1]")},
        {damaged(JOB, "\"image\":\"image\"", "\"image\":null")},
        {damaged(JOB, "\"requiredLabel\":\"\"", "\"requiredLabel\":null")},
        {damaged(JOB, "\"preferredRack\":\"\"", "\"preferredRack\":null")},
        {damaged(JOB, "\"count\":9", "\"count\":0")},
        {damaged(JOB, "\"count\":9", "\"count\":9.5")},
        {damaged(JOB, "\"count\":9", "\"count\":2147483647")},
        {damaged(JOB, "\"count\":9", "\"count\":2147483648")},
        {damaged(JOB, "\"cpuMillis\":500", "\"cpuMillis\":-500")},
        {damaged(JOB, "\"repeatCount\":3", "\"repeatCount\":2147483647")},
        {damaged(JOB, "\"periodMs\":300", "\"periodMs\":9223372036854775807")},
        {damaged(JOB, "\"acceptedMs\":1000", "\"acceptedMs\":-1")}
      };
    }

    @Test(dataProvider = "damagedJobs")
    public void should_not_read_a_damaged_job(String text) {
      assertThatThrownBy(() -> StoredJob.parse(ID, text))
          .isInstanceOf(MalformedMessageException.class);
    }

    @Test
    public void should_read_only_jobs_that_can_be_scheduled() {
      // given
      MessageMutator mutator = new MessageMutator(6);
      for (int i = 0; i < MESSAGES; i++) {
        String text = mutator.mutate(Json.write(JOB));
        JobSpec job;
        try {
          job = StoredJob.parse(ID, text);
        } catch (MalformedMessageException e) {
          continue;
        }
        // when
        Dispatcher dispatcher = dispatcher();
        dispatcher.restoreJob(job, JobProgress.NONE, 0, 1_000);
        // then: no error
        assertThat(dispatcher.decide(20_000, 1_000_000)).as(text).isEmpty();
      }
    }
  }

  /** Records of the progress of jobs. */
  public static class Progress {
    private static final JobProgress PROGRESS =
        new JobProgress(
            JobStatus.ACTIVE,
            Map.of("0.0", "ff01"),
            Map.of(ID + ".1.0.2", List.of(100_001L, 100_002L)),
            Map.of(ID + ".2.0.8", "c"),
            Optional.of(Map.of("0.1", "0d")));

    @Test
    public void should_read_intact_progress() {
      assertThat(StoredProgress.parse(JOB, Json.write(PROGRESS))).isEqualTo(PROGRESS);
    }

    /** Records of releases that did not store which tasks have run are read, too. */
    @Test
    public void should_read_progress_without_the_tasks_that_have_run() {
      // given
      String text = damaged(PROGRESS, ",\"begun\":{\"0.1\":\"0d\"}", "");
      // then
      JobProgress expected =
          new JobProgress(
              PROGRESS.status(),
              PROGRESS.done(),
              PROGRESS.failures(),
              PROGRESS.checkpoints(),
              Optional.empty());
      assertThat(StoredProgress.parse(JOB, text)).isEqualTo(expected);
    }

    @Test
    public void should_read_occurrences_that_are_over() {
      // given
      JobProgress progress =
          new JobProgress(
              JobStatus.ACTIVE,
              Map.of("0-1", "", "2.0", "01"),
              Map.of(),
              Map.of(),
              Optional.empty());
      // then
      assertThat(StoredProgress.parse(JOB, Json.write(progress))).isEqualTo(progress);
    }

    @DataProvider
    public static Object[][] damagedProgress() {
      return new Object[][] {
        {damaged(PROGRESS, "\"0.0\":\"ff01\"", "\"0-3\":\"\"")},
        {damaged(PROGRESS, "\"0.0\":\"ff01\"", "\"1-0\":\"\"")},
        {damaged(PROGRESS, "\"0.0\":\"ff01\"", "\"0-01\":\"\"")},
        {damaged(PROGRESS, "\"0.0\":\"ff01\"", "\"0-1\":\"01\"")},
        {damaged(PROGRESS, "\"0.0\":\"ff01\"", "\"0-99999999999\":\"\"")},
        {""},
        {"null"},
        {"{}"},
        {Json.write(PROGRESS) + "}"},
        {"[".repeat(200_000)},
        {"{\"done\":" + "{\"0.0\":".repeat(200_000)},
        {damaged(PROGRESS, "\"ACTIVE\"", "null")},
        {damaged(PROGRESS, "\"ACTIVE\"", "\"PAUSED\"")},
        {damaged(PROGRESS, "\"done\"", "\"finished\"")},
        {damaged(PROGRESS, "\"failures\"", "\"failed\"")},
        {damaged(PROGRESS, "\"checkpoints\"", "\"saved\"")},
        {damaged(PROGRESS, "\"ff01\"", "null")},
        {damaged(PROGRESS, "\"ff01\"", "\"ff0\"")},
        {damaged(PROGRESS, "\"ff01\"", "\"xy\"")},
        {damaged(PROGRESS, "\"ff01\"", "\"ff02\"")},
        {damaged(PROGRESS, "\"0.0\"", "\"0.2\"")},
        {damaged(PROGRESS, "\"0.0\"", "\"3.0\"")},
        {damaged(PROGRESS, "\"0.0\"", "\"0\"")},
        {damaged(PROGRESS, "\"0.0\"", "\"-1.0\"")},
        {damaged(PROGRESS, "\"0.0\"", "\"00.0\"")},
        {damaged(PROGRESS, ".1.0.2", ".1.0.9")},
        {damaged(PROGRESS, ".1.0.2", ".1.0")},
        {damaged(PROGRESS, ID + ".1", "00000000000000bb.1")},
        {damaged(PROGRESS, "100001", "null")},
        {damaged(PROGRESS, "100001", "100001.5")},
        {damaged(PROGRESS, "100001", "9223372036854775808")},
        {damaged(PROGRESS, "[100001,100002]", "null")},
        {damaged(PROGRESS, "\"c\"", "null")},
        {damaged(PROGRESS, "\"0d\"", "null")},
        {damaged(PROGRESS, "\"0d\"", "\"0d01\"")},
        {damaged(PROGRESS, "\"0.1\"", "\"0.2\"")}
      };
    }

    @Test(dataProvider = "damagedProgress")
    public void should_not_read_damaged_progress(String text) {
      assertThatThrownBy(() -> StoredProgress.parse(JOB, text))
          .isInstanceOf(MalformedMessageException.class);
    }

    @Test
    public void should_read_only_progress_that_can_be_restored() {
      // given
      MessageMutator mutator = new MessageMutator(7);
      for (int i = 0; i < MESSAGES; i++) {
        String text = mutator.mutate(Json.write(PROGRESS));
        JobProgress progress;
        try {
          progress = StoredProgress.parse(JOB, text);
        } catch (MalformedMessageException e) {
          continue;
        }
        // when
        Dispatcher dispatcher = dispatcher();
        dispatcher.restoreJob(JOB, progress, 1, 1_000);
        // then: no error
        assertThat(dispatcher.decide(20_000, 1_000_000)).as(text).isEmpty();
      }
    }
  }

  /** Records nested as deeply as the parser follows, on the small stack of a node's threads. */
  public static class DeepRecords {
    /** As set for the node by its flags. */
    private static final long STACK_BYTES = 256 * 1024;

    /** The parser refuses deeper nesting. */
    private static final int MAX_DEPTH = 1_000;

    @DataProvider
    public static Object[][] openings() {
      return new Object[][] {
        {""}, {"{\"workers\":["}, {"{\"phases\":["}, {"{\"done\":"}, {"{\"other\":"}
      };
    }

    @Test(dataProvider = "openings")
    public void should_not_overflow_the_stack_of_a_node(String opening)
        throws InterruptedException {
      for (String level : List.of("[", "{\"a\":")) {
        for (int depth : List.of(MAX_DEPTH / 2, MAX_DEPTH - 5, 200 * MAX_DEPTH)) {
          // given
          String text = opening + level.repeat(depth);
          AtomicReference<Throwable> error = new AtomicReference<>();
          Thread thread = new Thread(null, () -> readAll(text), "node", STACK_BYTES);
          thread.setUncaughtExceptionHandler((failed, thrown) -> error.set(thrown));
          // when
          thread.start();
          thread.join();
          // then
          assertThat(error.get()).isNull();
        }
      }
    }

    private static void readAll(String text) {
      StoredFleet.parse(text, time -> OptionalLong.empty());
      assertThatThrownBy(() -> StoredJob.parse(ID, text))
          .isInstanceOf(MalformedMessageException.class);
      assertThatThrownBy(() -> StoredProgress.parse(JOB, text))
          .isInstanceOf(MalformedMessageException.class);
      assertThatThrownBy(() -> StoredOwner.parse(text, 1))
          .isInstanceOf(MalformedMessageException.class);
    }
  }
}
