package org.plantainloom.protocol.document;

import org.plantainloom.state.ServiceSpec;

/** Reads the specification of a service from an operator's intent. */
public final class ServiceReader {
  private static final int MAX_REPLICAS = 10_000;
  private static final int MAX_DURATION_MS = 600_000;

  private ServiceReader() {}

  /**
   * Reads a service.
   *
   * @throws InvalidDocumentException if it has problems; carries all of them
   */
  public static ServiceSpec read(String file, String text) throws InvalidDocumentException {
    DocumentReader root = DocumentReader.parse(file, text);
    ServiceSpec service =
        new ServiceSpec(
            root.name("name"),
            root.integer("replicas", 1, MAX_REPLICAS),
            SizeReader.read(root),
            root.integer("survivingPercent", 0, 100, 50),
            root.integer("tailMs", 1, MAX_DURATION_MS));
    root.finish();
    return service;
  }
}
