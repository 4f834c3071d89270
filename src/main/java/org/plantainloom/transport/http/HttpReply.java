package org.plantainloom.transport.http;

/**
 * A whole HTTP answer.
 *
 * @param status the status code; 0 if no answer came
 * @param body the body, or what happened instead of an answer
 */
public record HttpReply(int status, String body) {
  /** Status of a reply that never came. */
  public static final int NO_ANSWER = 0;

  /** Returns whether the status is 2xx. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  /** Returns whether no answer came. */
  public boolean isMissing() {
    return status == NO_ANSWER;
  }
}
