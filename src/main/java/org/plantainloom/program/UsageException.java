package org.plantainloom.program;

import java.io.IOException;
import java.nio.file.Path;
import org.plantainloom.protocol.document.InvalidDocumentException;

/** Thrown if the command line or the settings are invalid. */
public final class UsageException extends Exception {
  private static final long serialVersionUID = 1L;

  private UsageException(String message, Throwable cause) {
    super(message, cause);
  }

  /** Returns the exception with the given message, one line for each problem. */
  public static UsageException of(String message) {
    return new UsageException(message, null);
  }

  /** Returns the exception for an invalid document. */
  public static UsageException of(InvalidDocumentException cause) {
    return new UsageException(cause.getMessage(), cause);
  }

  /** Returns the exception for a file that cannot be read. */
  public static UsageException unreadable(Path file, IOException cause) {
    return new UsageException(file + ": expected a readable file but found " + cause, cause);
  }
}
