package org.plantainloom.program.operator;

import java.io.IOException;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.plantainloom.program.ExitCode;
import org.plantainloom.program.LogLevel;
import org.plantainloom.program.UsageException;

/** Parses the command line and runs the selected command. */
final class OperatorCli {
  private static final String VERSION = "0.1.0";
  private static final String SYNTAX =
      "plantainloom [--config FILE] [--api HOST:PORT] [options] COMMAND";

  private OperatorCli() {}

  static ExitCode run(String[] args) {
    LogLevel.ERROR.apply();
    Options options = options();
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      if (line.hasOption("version")) {
        System.out.println("plantainloom " + VERSION);
        return ExitCode.OK;
      }
      if (line.hasOption("help") || line.getArgList().isEmpty()) {
        printHelp(options);
        return line.hasOption("help") ? ExitCode.OK : ExitCode.USAGE;
      }
      OperatorCommand command = OperatorCommand.named(line.getArgList().get(0));
      List<String> operands = line.getArgList().subList(1, line.getArgList().size());
      try (OperatorSession session = OperatorSession.open(OperatorSettings.of(line), line)) {
        return command.run(session, operands);
      }
    } catch (ParseException | UsageException e) {
      System.err.println("plantainloom: " + e.getMessage());
      return ExitCode.USAGE;
    } catch (RequestFailedException e) {
      System.err.println("plantainloom: " + e.getMessage());
      return e.exitCode();
    } catch (IOException e) {
      System.err.println("plantainloom: " + e);
      return ExitCode.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }

  private static Options options() {
    Options options = new Options();
    flag(options, "h", "help", "show this help");
    flag(options, "V", "version", "show the version");
    value(options, "c", "config", "FILE", "settings file: JSON with comments");
    value(
        options,
        "a",
        "api",
        "HOST:PORT",
        "addresses of schedulers, comma-separated; override the settings");
    flag(options, "j", "json", "print JSON");
    flag(options, null, "dry-run", "submit: validate and show the result without applying it");
    value(
        options,
        null,
        "expect",
        "REVISION",
        "reject the change unless this is the current revision");
    value(
        options,
        null,
        "change-id",
        "ID",
        "id of the change; a retry with the same id is applied once");
    value(
        options,
        null,
        "wait",
        "SECONDS",
        "job create: wait up to this long for the job to complete");
    flag(options, null, "urgent", "job create: the tasks must start within seconds");
    value(options, null, "tasks", "N", "job create: number of tasks");
    value(options, null, "kind", "KIND", "job create: batch kind declared in the questionnaire");
    value(
        options, null, "subject", "TEXT", "timeline: only events whose subject contains this text");
    value(
        options, null, "events", "KINDS", "timeline: only events of these kinds, comma-separated");
    flag(options, "f", "follow", "timeline: print new events until interrupted");
    return options;
  }

  private static void flag(Options options, String shortName, String name, String help) {
    options.addOption(Option.builder(shortName).longOpt(name).desc(help).get());
  }

  private static void value(
      Options options, String shortName, String name, String argument, String help) {
    options.addOption(
        Option.builder(shortName).longOpt(name).hasArg().argName(argument).desc(help).get());
  }

  private static void printHelp(Options options) throws IOException {
    HelpFormatter.builder()
        .setShowSince(false)
        .get()
        .printHelp(SYNTAX, "", options, OperatorCommand.help(), false);
  }
}
