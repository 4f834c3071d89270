package org.plantainloom.protocol.document;

import org.plantainloom.protocol.message.JobRequest;

/** Reads requests to create a batch job. */
public final class JobRequestReader {
  private static final int MAX_TASKS = 10_000;

  private JobRequestReader() {}

  /**
   * Reads a request.
   *
   * @throws InvalidDocumentException if it has problems; carries all of them
   */
  public static JobRequest read(String file, String text) throws InvalidDocumentException {
    DocumentReader root = DocumentReader.parse(file, text);
    JobRequest job =
        new JobRequest(
            root.name("name"),
            root.name("kind"),
            root.integer("tasks", 1, MAX_TASKS),
            root.flag("urgent", false));
    root.finish();
    return job;
  }
}
