package org.plantainloom.protocol;

/** Thrown when a text is not valid JSON of the expected type. */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }

  /**
   * Returns the exception for a text that is not valid JSON of the type.
   *
   * @param found what was found instead
   */
  public static MalformedMessageException of(Class<?> type, String found, Throwable cause) {
    return new MalformedMessageException(
        "expected the JSON of " + type.getSimpleName() + " but found: " + found, cause);
  }
}
