package org.plantainloom.program;

import java.io.IOException;
import java.nio.file.Path;
import org.plantainloom.protocol.document.InvalidDocumentException;

/** Tells that the command line or the settings are wrong. */
public final class UsageException extends Exception {
  private static final long serialVersionUID = 1L;

  private UsageException(String message, Throwable cause) {
    super(message, cause);
  }

  /** Returns the exception with one line for each mistake. */
  public static UsageException of(String message) {
    return new UsageException(message, null);
  }

  /** Returns the exception for a document with mistakes. */
  public static UsageException of(InvalidDocumentException cause) {
    return new UsageException(cause.getMessage(), cause);
  }

  /** Returns the exception for a file that cannot be read. */
  public static UsageException unreadable(Path file, IOException cause) {
    return new UsageException(file + ": expected a readable file but found " + cause, cause);
  }
}
