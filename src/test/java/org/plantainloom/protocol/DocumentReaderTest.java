package org.plantainloom.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.nio.file.Files;
import java.nio.file.Path;
import org.plantainloom.coordination.config.ConfigGenerator;
import org.plantainloom.coordination.config.FleetShape;
import org.plantainloom.coordination.config.Questionnaire;
import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;
import org.plantainloom.protocol.document.QuestionnaireReader;
import org.plantainloom.state.ServiceSpec;
import org.testng.annotations.Test;

/** Tests of the readers of hand-written documents. */
public class DocumentReaderTest {

  /** Documents with problems. */
  public static class Problems {
    @Test
    public void should_report_every_problem_with_line_and_path() {
      // given
      String text =
          """
          {
            // the team
            "team": "hengtai",
            "quota": { "cores": -1, "memoryGb": 10 },
            "services": [
              { "name": "a b", "peakRequestsPerSecond": 1, "requestMs": 1, "tailMs": 1,
                "parallelRequests": 8, "cores": 1, "memoryGb": 1, "survives": "moon" }
            ],
            "batchKinds": [],
            "colour": "green"
          }
          """;
      // when
      Throwable thrown = catchThrowable(() -> QuestionnaireReader.read("q.jsonc", text));
      // then
      assertThat(thrown)
          .isInstanceOf(InvalidDocumentException.class)
          .hasMessageContaining("q.jsonc:4: quota.cores: expected a whole number from 0 to 100000")
          .hasMessageContaining("q.jsonc:6: services[0].name: expected a name")
          .hasMessageContaining("services[0].survives: expected one of [NONE, RACK, ZONE]")
          .hasMessageContaining("q.jsonc:10: colour: expected one of the keys");
    }

    @Test
    public void should_report_a_duplicate_key_with_the_line_of_the_first() {
      // given
      String text = "{\n\"a\": 1,\n\"a\": 2\n}";
      // when
      Throwable thrown =
          catchThrowable(
              () -> {
                DocumentReader reader = DocumentReader.parse("s.jsonc", text);
                reader.integer("a", 0, 9);
                reader.finish();
              });
      // then
      assertThat(thrown)
          .hasMessage("s.jsonc:3: a: expected each key once but found a duplicate of line 2");
    }

    @Test
    public void should_report_invalid_syntax_with_its_line() {
      // when
      Throwable thrown = catchThrowable(() -> DocumentReader.parse("s.jsonc", "{\n\"a\": ,\n}"));
      // then
      assertThat(thrown).hasMessageStartingWith("s.jsonc:2: (syntax): expected JSON");
    }
  }

  /** The example questionnaires in the repository. */
  public static class Examples {
    @Test
    public void should_generate_replicas_that_carry_the_peak_after_the_loss_of_a_zone()
        throws Exception {
      // given
      String text = Files.readString(Path.of("examples/hengtai.jsonc"));
      Questionnaire answers = QuestionnaireReader.read("hengtai.jsonc", text);
      // when
      ServiceSpec service =
          ConfigGenerator.generate(answers, new FleetShape(3, 5)).services().get(0);
      // then: 900/s x 25 ms = 22.5 in flight; 6 replicas of 8 at half load carry it
      assertThat(service.replicas()).isEqualTo(9);
      assertThat(service.survivingPercent()).isEqualTo(66);
    }

    @Test
    public void should_read_the_questionnaire_of_tsetseg_listings() throws Exception {
      // given
      String text = Files.readString(Path.of("examples/tsetseg.jsonc"));
      // when
      Questionnaire answers = QuestionnaireReader.read("tsetseg.jsonc", text);
      // then
      assertThat(answers.team().value()).isEqualTo("tsetseg");
      assertThat(answers.batchKinds()).hasSize(2);
    }
  }
}
