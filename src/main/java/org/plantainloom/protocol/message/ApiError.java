package org.plantainloom.protocol.message;

import java.util.List;

/**
 * Error of the administration API.
 *
 * @param code stable code for programs
 * @param message one line for people
 * @param problems every mistake found; may be empty
 */
public record ApiError(String code, String message, List<ApiProblem> problems) {
  /** Creates the message with copies of its lists. */
  public ApiError {
    problems = List.copyOf(problems);
  }

  /** Returns an error without a list of mistakes. */
  public static ApiError of(String code, String message) {
    return new ApiError(code, message, List.of());
  }
}
