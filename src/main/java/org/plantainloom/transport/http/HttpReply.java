package org.plantainloom.transport.http;

/**
 * An HTTP response, or its absence.
 *
 * @param status the status code; 0 if there was no response
 * @param body the body, or the cause if there was no response
 */
public record HttpReply(int status, String body) {
  /** Status that stands for a missing response. */
  public static final int NO_ANSWER = 0;

  /** Returns whether the status is 2xx. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  /** Returns whether there was no response. */
  public boolean isMissing() {
    return status == NO_ANSWER;
  }
}
