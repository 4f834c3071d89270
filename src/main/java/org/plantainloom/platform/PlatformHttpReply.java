package org.plantainloom.platform;

/**
 * An HTTP response with its whole body, or the reason why there is none.
 *
 * @param status the HTTP status code, {@link #NO_RESPONSE}, {@link #NOT_SENT} or {@link #TOO_LARGE}
 * @param body the body, or a description of the failure
 */
record PlatformHttpReply(int status, String body) {
  /** There was no response; the request may have been carried out, or may still be. */
  static final int NO_RESPONSE = 0;

  /** The request was not sent. */
  static final int NOT_SENT = -1;

  /** The response was longer than the client accepts. */
  static final int TOO_LARGE = -2;

  private static final int MAX_SUMMARY_CHARS = 80;

  boolean isOk() {
    return status >= 200 && status < 300;
  }

  /** Returns whether the request was not sent, or was rejected without effect. */
  boolean isRefused() {
    return status == 429 || status == 503 || status == NOT_SENT;
  }

  /** Returns the status and the start of the body on one line, for the log. */
  String summary() {
    String start = body.length() > MAX_SUMMARY_CHARS ? body.substring(0, MAX_SUMMARY_CHARS) : body;
    return status + " " + start.replace('\n', ' ');
  }
}
