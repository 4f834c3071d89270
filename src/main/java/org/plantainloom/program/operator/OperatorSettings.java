package org.plantainloom.program.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.plantainloom.program.UsageException;
import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;

/**
 * Settings of the command line for operators.
 *
 * @param api addresses of schedulers, tried in order until one answers
 * @param token bearer token; empty for none
 */
record OperatorSettings(List<String> api, String token) {
  OperatorSettings {
    api = List.copyOf(api);
  }

  static OperatorSettings of(CommandLine line) throws UsageException {
    OperatorSettings settings = new OperatorSettings(List.of(), "");
    if (line.hasOption("config")) {
      settings = read(Path.of(line.getOptionValue("config")));
    }
    if (line.hasOption("api")) {
      settings =
          new OperatorSettings(List.of(line.getOptionValue("api").split(",")), settings.token());
    }
    if (settings.api().isEmpty()) {
      throw UsageException.of("expected --api or --config but found neither");
    }
    return settings;
  }

  private static OperatorSettings read(Path file) throws UsageException {
    try {
      DocumentReader root = DocumentReader.parse(file.toString(), Files.readString(file));
      OperatorSettings settings = new OperatorSettings(root.texts("api"), root.text("token", ""));
      root.finish();
      return settings;
    } catch (IOException e) {
      throw UsageException.unreadable(file, e);
    } catch (InvalidDocumentException e) {
      throw UsageException.of(e);
    }
  }
}
