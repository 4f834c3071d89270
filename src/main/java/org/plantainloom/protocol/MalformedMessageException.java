package org.plantainloom.protocol;

/** Tells that a text is not the JSON of the expected message. */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }

  /** Returns the exception for a text that is not of the type. */
  public static MalformedMessageException of(Class<?> type, String found, Throwable cause) {
    return new MalformedMessageException(
        "expected the JSON of " + type.getSimpleName() + " but found: " + found, cause);
  }
}
