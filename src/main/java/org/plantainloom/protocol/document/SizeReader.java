package org.plantainloom.protocol.document;

import org.plantainloom.state.ResourceVector;

/** Reads the resources of a task from the fields of an object. */
final class SizeReader {
  private static final int MAX_CORES = 100_000;
  private static final int MAX_MEMORY_GB = 1_000_000;
  private static final int MAX_ACCELERATORS = 10_000;
  private static final int MILLIS_PER_CORE = 1000;
  private static final int MB_PER_GB = 1024;

  private SizeReader() {}

  static ResourceVector read(DocumentReader reader) {
    double cores = reader.decimal("cores", 0.1, MAX_CORES);
    double memoryGb = reader.decimal("memoryGb", 0.1, MAX_MEMORY_GB);
    int accelerators = reader.integer("accelerators", 0, MAX_ACCELERATORS, 0);
    return new ResourceVector(
        (int) Math.round(cores * MILLIS_PER_CORE),
        (int) Math.round(memoryGb * MB_PER_GB),
        accelerators);
  }
}
