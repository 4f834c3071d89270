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

/** Checks that string literals outside the platform package hold no names of the platform. */
public class PlatformNamesTest {
  private static final Path MAIN = Path.of("src/main/java/org/plantainloom");
  private static final Pattern PLATFORM_NAMES =
      Pattern.compile(
          "\"(?!x-)[^\"]*(kv-txn|kv-range|kv-watch|kv-key|kv-lease|run-start|run-stop|last-seen"
              + "|fencing-token|expected-rev|op/config|op/evacuate|servers/|deadline-ms"
              + "|progress-percent|long-running|anti-affinity|miss-allowed)[^\"]*\"");

  @Test
  public void should_find_platform_names_only_in_the_platform_package() throws IOException {
    // when
    List<String> leaks;
    try (Stream<Path> files = Files.walk(MAIN)) {
      leaks =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> !file.startsWith(MAIN.resolve("platform")))
              .flatMap(PlatformNamesTest::findNames)
              .toList();
    }
    // then
    assertThat(leaks).isEmpty();
  }

  private static Stream<String> findNames(Path file) {
    try {
      Matcher matcher = PLATFORM_NAMES.matcher(Files.readString(file));
      return matcher.results().map(result -> file + ": " + result.group()).toList().stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
