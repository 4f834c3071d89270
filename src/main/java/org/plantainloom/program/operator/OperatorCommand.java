package org.plantainloom.program.operator;

import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.plantainloom.coordination.plan.PlannerSnapshot;
import org.plantainloom.program.ExitCode;
import org.plantainloom.program.UsageException;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.message.ChangeAccepted;
import org.plantainloom.protocol.message.JobRequest;
import org.plantainloom.protocol.message.MemberList;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.transport.http.HttpReply;

/** Commands of the {@code plantainloom} command line. */
enum OperatorCommand {
  /** Submits a team's questionnaire. */
  SUBMIT("submit FILE", "submit a team's questionnaire") {
    @Override
    ExitCode run(OperatorSession session, List<String> operands)
        throws IOException, UsageException, RequestFailedException {
      String file = operand(operands, 0);
      String text = Files.readString(Path.of(file));
      return printChange(session, session.send(HttpMethod.POST, "/v1/questionnaires", text));
    }
  },
  /** Creates or removes a service. */
  SERVICE("service create TEAM FILE | service remove TEAM NAME", "change a service") {
    @Override
    ExitCode run(OperatorSession session, List<String> operands)
        throws IOException, UsageException, RequestFailedException {
      String path = "/v1/teams/" + operand(operands, 1) + "/services";
      return switch (operand(operands, 0)) {
        case "create" -> {
          String text = Files.readString(Path.of(operand(operands, 2)));
          yield printChange(session, session.send(HttpMethod.POST, path, text));
        }
        case "remove" ->
            printChange(
                session, session.send(HttpMethod.DELETE, path + "/" + operand(operands, 2), ""));
        default -> throw unexpected(operands.get(0), "create or remove");
      };
    }
  },
  /** Creates or cancels a batch job. */
  JOB(
      "job create TEAM NAME --kind KIND --tasks N [--urgent] [--wait S] | job cancel TEAM NAME",
      "change a batch job") {
    @Override
    ExitCode run(OperatorSession session, List<String> operands)
        throws UsageException, RequestFailedException, InterruptedException {
      String path = "/v1/teams/" + operand(operands, 1) + "/jobs";
      String job = operand(operands, 2);
      return switch (operand(operands, 0)) {
        case "create" -> {
          String kind =
              session
                  .option("kind")
                  .orElseThrow(() -> UsageException.of("expected --kind but found none"));
          JobRequest request =
              new JobRequest(job, kind, session.intOption("tasks", 1), session.hasOption("urgent"));
          printChange(session, session.send(HttpMethod.POST, path, Json.write(request)));
          yield JobWaiter.awaitCompletion(
              session, operand(operands, 1), job, session.intOption("wait", 0));
        }
        case "cancel" ->
            printChange(session, session.send(HttpMethod.DELETE, path + "/" + job, ""));
        default -> throw unexpected(operands.get(0), "create or cancel");
      };
    }
  },
  /** Takes an availability zone out of service or puts it back. */
  ZONE("zone out ZONE | zone in ZONE", "take an availability zone out of service, or put it back") {
    @Override
    ExitCode run(OperatorSession session, List<String> operands)
        throws UsageException, RequestFailedException {
      String direction = operand(operands, 0);
      if (!direction.equals("out") && !direction.equals("in")) {
        throw unexpected(direction, "out or in");
      }
      String path = "/v1/zones/" + operand(operands, 1) + "/" + direction;
      return printChange(session, session.send(HttpMethod.POST, path, ""));
    }
  },
  /** Shows services, jobs, workers and availability zones. */
  STATUS("status", "show services, jobs, workers and availability zones") {
    @Override
    ExitCode run(OperatorSession session, List<String> operands) throws RequestFailedException {
      HttpReply reply = session.get("/v1/status");
      if (session.isJson()) {
        System.out.println(reply.body());
      } else {
        StatusPrinter.print(System.out, Json.read(reply.body(), PlannerSnapshot.class));
      }
      return ExitCode.OK;
    }
  },
  /** Lists the live processes. */
  MEMBERS("members", "list the live processes") {
    @Override
    ExitCode run(OperatorSession session, List<String> operands) throws RequestFailedException {
      HttpReply reply = session.get("/v1/members");
      if (session.isJson()) {
        System.out.println(reply.body());
        return ExitCode.OK;
      }
      MemberList list = Json.read(reply.body(), MemberList.class);
      for (MemberRecord member : list.members()) {
        String planner = list.planner().equals(Optional.of(member.id())) ? " planner" : "";
        String leaving = member.leaving() ? " leaving" : "";
        System.out.printf(
            "%-10s %-30s %-22s %s%s%s%n",
            member.role(), member.id(), member.address(), member.zone(), leaving, planner);
      }
      return ExitCode.OK;
    }
  },
  /** Shows the merged timeline of all processes. */
  TIMELINE(
      "timeline [--subject TEXT] [--events KINDS] [--follow]",
      "show the merged timeline of all processes") {
    @Override
    ExitCode run(OperatorSession session, List<String> operands)
        throws RequestFailedException, InterruptedException {
      return new TimelinePrinter(session).run();
    }
  };

  private final String usage;
  private final String summary;

  OperatorCommand(String usage, String summary) {
    this.usage = usage;
    this.summary = summary;
  }

  abstract ExitCode run(OperatorSession session, List<String> operands)
      throws IOException, UsageException, RequestFailedException, InterruptedException;

  static OperatorCommand named(String name) throws UsageException {
    for (OperatorCommand command : values()) {
      if (command.name().toLowerCase(Locale.ROOT).equals(name)) {
        return command;
      }
    }
    throw unexpected(name, "one of " + Arrays.toString(values()).toLowerCase(Locale.ROOT));
  }

  static String help() {
    StringBuilder text = new StringBuilder("Commands:\n");
    for (OperatorCommand command : values()) {
      text.append("  ").append(command.usage).append(": ").append(command.summary).append('\n');
    }
    return text.toString();
  }

  private static String operand(List<String> operands, int index) throws UsageException {
    if (index >= operands.size()) {
      throw UsageException.of("missing operand after " + operands + "; see --help");
    }
    return operands.get(index);
  }

  private static UsageException unexpected(String found, String expected) {
    return UsageException.of("expected " + expected + " but found " + found);
  }

  private static ExitCode printChange(OperatorSession session, HttpReply reply) {
    if (session.isJson() || session.hasOption("dry-run")) {
      System.out.println(reply.body());
      return ExitCode.OK;
    }
    ChangeAccepted accepted = Json.read(reply.body(), ChangeAccepted.class);
    System.out.println(
        "accepted: " + accepted.summary() + " (revision " + accepted.revision() + ")");
    return ExitCode.OK;
  }
}
