package org.plantainloom.protocol.message;

import java.util.List;

/**
 * Error response of the administration API.
 *
 * @param code stable code for programs
 * @param message one-line message for human readers
 * @param problems all problems of the request; may be empty
 */
public record ApiError(String code, String message, List<ApiProblem> problems) {
  /** Creates the message with a copy of its list. */
  public ApiError {
    problems = List.copyOf(problems);
  }

  /** Returns an error without a list of problems. */
  public static ApiError of(String code, String message) {
    return new ApiError(code, message, List.of());
  }
}
