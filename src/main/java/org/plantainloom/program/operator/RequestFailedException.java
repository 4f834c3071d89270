package org.plantainloom.program.operator;

import org.plantainloom.program.ExitCode;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.protocol.message.ApiError;
import org.plantainloom.transport.http.HttpReply;

/** Thrown if the administration API rejects a request or does not answer. */
final class RequestFailedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  private RequestFailedException(String message, ExitCode exitCode) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Returns the exception for an error reply or a missing one. */
  static RequestFailedException of(HttpReply reply) {
    if (reply.isMissing()) {
      return new RequestFailedException("no scheduler answered: " + reply.body(), ExitCode.FAILED);
    }
    ExitCode code =
        switch (reply.status()) {
          case 409 -> ExitCode.CONFLICT;
          case 400, 403, 404 -> ExitCode.REJECTED;
          default -> ExitCode.FAILED;
        };
    return new RequestFailedException(describe(reply), code);
  }

  /** Returns the exception for a wait that timed out. */
  static RequestFailedException timeout(String what) {
    return new RequestFailedException(what, ExitCode.FAILED);
  }

  private static String describe(HttpReply reply) {
    try {
      ApiError error = Json.read(reply.body(), ApiError.class);
      StringBuilder text = new StringBuilder(error.code() + ": " + error.message());
      error
          .problems()
          .forEach(p -> text.append("\n  ").append(p.path()).append(": ").append(p.message()));
      return text.toString();
    } catch (MalformedMessageException e) {
      return "status " + reply.status();
    }
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
