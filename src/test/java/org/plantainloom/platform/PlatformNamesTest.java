package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Keeps the platform's names within the adapter. */
public class PlatformNamesTest {
  private static final Path MAIN = Path.of("src/main/java/org/plantainloom");
  private static final Pattern NAMES =
      Pattern.compile(
          "\"(?!x-)[^\"]*(kv-txn|kv-range|kv-watch|kv-key|kv-lease|run-start|run-stop|last-seen"
              + "|fencing-token|expected-rev|op/config|op/evacuate|servers/|deadline-ms"
              + "|progress-percent|long-running|anti-affinity|miss-allowed)[^\"]*\"");

  @Test
  public void should_name_the_wire_only_in_the_adapter() throws IOException {
    // when
    List<String> leaks;
    try (Stream<Path> files = Files.walk(MAIN)) {
      leaks =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> !file.startsWith(MAIN.resolve("platform")))
              .flatMap(PlatformNamesTest::names)
              .toList();
    }
    // then
    assertThat(leaks).isEmpty();
  }

  private static Stream<String> names(Path file) {
    try {
      Matcher matcher = NAMES.matcher(Files.readString(file));
      return matcher.results().map(result -> file + ": " + result.group()).toList().stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
