package org.plantainloom.platform;

/**
 * A whole answer of a part of the platform.
 *
 * @param status the status code, or one of the values below
 * @param body the body, or what happened instead of an answer
 */
record PlatformHttpReply(int status, String body) {
  /** The request may have been carried out, or may still be. */
  static final int NO_ANSWER = 0;

  /** The request never left this machine. */
  static final int NOT_SENT = -1;

  private static final int SHOWN_CHARS = 80;

  boolean isOk() {
    return status >= 200 && status < 300;
  }

  /** Returns whether the receiver said that it did nothing, or was never asked. */
  boolean isRefused() {
    return status == 429 || status == 503 || status == NOT_SENT;
  }

  String summary() {
    String start = body.length() > SHOWN_CHARS ? body.substring(0, SHOWN_CHARS) : body;
    return status + " " + start.replace('\n', ' ');
  }
}
