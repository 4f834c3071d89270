package org.plantainloom.protocol.document;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a document has problems; carries all of them. */
public final class InvalidDocumentException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<Problem> problems;

  private InvalidDocumentException(List<Problem> problems) {
    super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** Returns the exception for all problems of a document. */
  public static InvalidDocumentException of(List<Problem> problems) {
    return new InvalidDocumentException(problems);
  }

  /** Returns the problems in the order of the document. */
  public List<Problem> problems() {
    return problems;
  }
}
