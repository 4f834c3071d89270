package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.plantainloom.state.job.JobSpec;
import org.plantainloom.state.job.JobStatus;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the formats of callers' jobs and of workers' registrations. */
public class PlatformFormatTest {
  private static Optional<JobSpec> job(String body) {
    return JobJson.job("00000000000000aa", "queue", body, 5);
  }

  /** Bodies of submissions, and the status of a job. */
  public static class Submissions {
    @Test
    public void should_read_phases_and_use_defaults_for_missing_fields() {
      // when
      JobSpec spec =
          job("{\"spec\":\"s\",\"phases\":[{\"count\":2,\"cpu\":500},"
                  + "{\"count\":1,\"after\":[0],\"long-running\":true,\"target-ms\":18,"
                  + "\"utilization\":true,\"anti-affinity\":2,\"image\":\"i\"}]}")
              .get();
      // then
      assertThat(spec.phases()).hasSize(2);
      assertThat(spec.phases().get(0).need().cpuMillis()).isEqualTo(500);
      assertThat(spec.phases().get(0).maxUnavailable()).isEqualTo(-1);
      assertThat(spec.phases().get(1).after()).containsExactly(0);
      assertThat(spec.phases().get(1).lasting()).isTrue();
      assertThat(spec.phases().get(1).fillsIdleCpu()).isTrue();
      assertThat(spec.phases().get(1).tailObjectiveMs()).isEqualTo(18);
      assertThat(spec.phases().get(1).maxPerWorker()).isEqualTo(2);
    }

    @Test
    public void should_reject_invalid_jobs() {
      assertThat(job("")).isEmpty();
      assertThat(job("[]")).isEmpty();
      assertThat(job("{\"spec\":\"s\",\"phases\":[]}")).isEmpty();
      assertThat(job("{\"spec\":\"s\",\"phases\":[{\"count\":0}]}")).isEmpty();
      assertThat(job("{\"phases\":[{\"count\":1}]}")).isEmpty();
    }

    @DataProvider
    public static Object[][] invalidNumbers() {
      return new Object[][] {
        {"1e400"},
        {"18446744073709552116"}, // 2^64 + 500, which is 500 if cut off to 64 bits
        {"9223372036854775807"},
        {"-1"},
        {"\"7\""},
        {"[7]"}
      };
    }

    /** Values that are cut off or replaced would be other than what the caller asked for. */
    @Test(dataProvider = "invalidNumbers")
    public void should_reject_jobs_with_numbers_out_of_range(String number) {
      assertThat(job("{\"spec\":\"s\",\"phases\":[{\"count\":" + number + "}]}")).isEmpty();
      for (String field : List.of("cpu", "mem-mb", "gpu", "estimate-ms", "anti-affinity")) {
        assertThat(
                job("{\"spec\":\"s\",\"phases\":[{\"count\":1,\"" + field + "\":" + number + "}]}"))
            .as(field)
            .isEmpty();
      }
      for (String field : List.of("start-at-ms", "period-ms", "repeat-count")) {
        assertThat(
                job("{\"spec\":\"s\",\"phases\":[{\"count\":1}],\"" + field + "\":" + number + "}"))
            .as(field)
            .isEmpty();
      }
    }

    @Test
    public void should_reject_jobs_with_fractional_amounts_but_not_with_fractional_times() {
      assertThat(job("{\"spec\":\"s\",\"phases\":[{\"count\":1,\"cpu\":0.5}]}")).isEmpty();
      assertThat(job("{\"spec\":\"s\",\"phases\":[{\"count\":1.5}]}")).isEmpty();
      assertThat(job("{\"spec\":\"s\",\"phases\":[{\"count\":1,\"estimate-ms\":900.5}]}"))
          .isPresent();
    }

    @Test
    public void should_reject_a_phase_that_depends_on_itself() {
      assertThat(job("{\"spec\":\"s\",\"phases\":[{\"count\":1,\"after\":[0]}]}")).isEmpty();
    }

    @Test
    public void should_write_a_status_under_the_platforms_name() {
      assertThat(JobJson.status(JobStatus.COMPLETED)).isEqualTo("{\"state\":\"completed\"}");
    }
  }

  /** Registrations of workers. */
  public static class Registrations {
    private final PlatformCodec codec = new PlatformCodec();

    @Test
    public void should_read_a_registration() {
      // when
      var worker =
          codec.worker(
              "servers/i-1",
              "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\",\"state\":\"draining\","
                  + "\"capacity\":{\"cpu\":8000,\"mem-mb\":32,\"gpu\":1},\"labels\":[\"a\",\"r1\"],"
                  + "\"born\":7}");
      // then
      assertThat(worker).isPresent();
      assertThat(worker.get().id()).isEqualTo("i-1");
      assertThat(worker.get().draining()).isTrue();
      assertThat(worker.get().rack()).isEqualTo("r1");
      assertThat(worker.get().startedAtMs()).isEqualTo(7);
    }

    @Test
    public void should_ignore_entries_that_are_not_registrations() {
      assertThat(codec.worker("servers/i-1", "{}")).isEmpty();
      assertThat(codec.worker("servers/i-1", "junk")).isEmpty();
      assertThat(
              codec.worker(
                  "servers/i-1",
                  "{\"service\":\"s\",\"address\":7,\"zone\":\"z\",\"state\":\"ready\","
                      + "\"capacity\":{\"cpu\":1,\"mem-mb\":1},\"labels\":[]}"))
          .isEmpty();
      assertThat(
              codec.worker(
                  "servers/i-1",
                  "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\",\"state\":\"odd\","
                      + "\"capacity\":{\"cpu\":1,\"mem-mb\":1},\"labels\":[]}"))
          .isEmpty();
    }
  }
}
