package org.plantainloom.program.experiment;

import java.util.List;
import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;

/**
 * Settings of a comparison of placement policies.
 *
 * @param seed seed of the job arrivals
 * @param seconds simulated time of each run, in seconds
 * @param sizes fleet sizes to run, in workers
 */
record ExperimentSettings(int seed, int seconds, List<Integer> sizes) {
  static ExperimentSettings read(DocumentReader root) throws InvalidDocumentException {
    ExperimentSettings settings =
        new ExperimentSettings(
            root.integer("seed", 0, Integer.MAX_VALUE),
            root.integer("seconds", 1, 86_400),
            root.objects("sizes").stream().map(s -> s.integer("workers", 8, 10_000)).toList());
    root.finish();
    return settings;
  }
}
