package org.plantainloom.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;

/**
 * Launches a program: parses its command line, reads its settings and sets the exit code.
 *
 * <pre>{@code
 * ProgramLauncher.forProgram("plantainloom-gateway")
 *     .run(args, GatewaySettings::read, GatewayProcess::run);
 * }</pre>
 */
public final class ProgramLauncher {
  private static final String VERSION = "0.1.0";

  private final String name;

  private ProgramLauncher(String name) {
    this.name = name;
  }

  /** Reads the settings of a program from a document. */
  @FunctionalInterface
  public interface SettingsReader<S> {
    /**
     * Reads the settings.
     *
     * @throws InvalidDocumentException if any setting is invalid
     */
    S read(DocumentReader document) throws InvalidDocumentException;
  }

  /** Runs a program with its settings. */
  @FunctionalInterface
  public interface ProgramBody<S> {
    /**
     * Runs the program. Servers return once they have started and keep running on their own
     * threads.
     *
     * @throws Exception if the program cannot start
     */
    ExitCode run(S settings) throws Exception;
  }

  /** Returns a launcher for the program with the given command name. */
  public static ProgramLauncher forProgram(String name) {
    return new ProgramLauncher(name);
  }

  /**
   * Parses the command line, reads the settings and runs the program.
   *
   * <p>Exits the JVM if the result is not {@link ExitCode#OK}; otherwise returns, and the JVM runs
   * on while the program has threads.
   */
  public <S> void run(String[] args, SettingsReader<S> reader, ProgramBody<S> body) {
    ExitCode code = execute(args, reader, body);
    if (code != ExitCode.OK) {
      System.exit(code.code());
    }
  }

  <S> ExitCode execute(String[] args, SettingsReader<S> reader, ProgramBody<S> body) {
    Options options = options();
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      if (line.hasOption("help")) {
        printHelp(options);
        return ExitCode.OK;
      }
      if (line.hasOption("version")) {
        System.out.println(name + " " + VERSION);
        return ExitCode.OK;
      }
      if (!line.hasOption("config")) {
        throw UsageException.of("expected --config FILE but found none");
      }
      return body.run(settings(Path.of(line.getOptionValue("config")), reader));
    } catch (ParseException | UsageException e) {
      System.err.println(e.getMessage());
      return ExitCode.USAGE;
    } catch (Exception e) {
      System.err.println(name + ": " + e);
      return ExitCode.FAILED;
    }
  }

  private static Options options() {
    Options options = new Options();
    options.addOption(Option.builder("h").longOpt("help").desc("show this help").get());
    options.addOption(Option.builder("V").longOpt("version").desc("show the version").get());
    options.addOption(
        Option.builder("c")
            .longOpt("config")
            .hasArg()
            .argName("FILE")
            .desc("settings file: JSON with comments")
            .get());
    return options;
  }

  private void printHelp(Options options) throws IOException {
    HelpFormatter.builder()
        .setShowSince(false)
        .get()
        .printHelp(name + " --config FILE", "", options, "", false);
  }

  private static <S> S settings(Path file, SettingsReader<S> reader) throws UsageException {
    try {
      return reader.read(DocumentReader.parse(file.toString(), Files.readString(file)));
    } catch (IOException e) {
      throw UsageException.unreadable(file, e);
    } catch (InvalidDocumentException e) {
      throw UsageException.of(e);
    }
  }
}
