package org.plantainloom.transport.admin;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import org.plantainloom.protocol.document.InvalidDocumentException;
import org.plantainloom.protocol.message.ApiError;
import org.plantainloom.protocol.message.ApiProblem;
import org.plantainloom.transport.http.Replies;

/** Converts errors of the lower layers to error responses of the administration API. */
final class ApiErrors {
  private ApiErrors() {}

  static HttpResponse forbidden() {
    return Replies.error(
        HttpStatus.FORBIDDEN, "forbidden", "expected the token of the team or of the operators");
  }

  static HttpResponse unavailable(String reason) {
    return Replies.error(HttpStatus.SERVICE_UNAVAILABLE, "unavailable", reason);
  }

  static ApiError invalid(InvalidDocumentException e) {
    return new ApiError(
        "invalid",
        "the document has " + e.problems().size() + " mistake(s)",
        e.problems().stream()
            .map(
                problem ->
                    new ApiProblem(
                        "line " + problem.line() + ": " + problem.path(),
                        "expected " + problem.expected() + " but found " + problem.found()))
            .toList());
  }

  static HttpResponse of(ChangeOutcome outcome) {
    if (outcome instanceof ChangeOutcome.Conflict conflict) {
      return Replies.error(
          HttpStatus.CONFLICT,
          "conflict",
          "the configuration is at revision "
              + conflict.currentRevision()
              + " by change "
              + conflict.changeId());
    }
    if (outcome instanceof ChangeOutcome.Rejected rejected) {
      HttpStatus status =
          rejected.error().code().equals("not-found") ? HttpStatus.NOT_FOUND : HttpStatus.CONFLICT;
      return Replies.of(status, rejected.error());
    }
    return unavailable(((ChangeOutcome.Unavailable) outcome).reason());
  }
}
