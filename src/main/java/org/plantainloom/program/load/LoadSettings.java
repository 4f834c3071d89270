package org.plantainloom.program.load;

import java.util.List;
import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;

/**
 * Settings of a load run.
 *
 * @param gateways host and port of each gateway
 * @param standin host and port of the simulated platform, which reports what ran
 * @param path path of the service, {@code /team/service/...}
 * @param seed seed for generating the readings
 * @param readings number of readings to send
 * @param ratePerSecond readings sent per second
 * @param deadlineMs deadline of each attempt, in milliseconds
 * @param expectedBatchTasks number of batch tasks that must finish for the run to pass
 */
record LoadSettings(
    List<String> gateways,
    String standin,
    String path,
    int seed,
    int readings,
    int ratePerSecond,
    int deadlineMs,
    int expectedBatchTasks) {

  static LoadSettings read(DocumentReader root) throws InvalidDocumentException {
    LoadSettings settings =
        new LoadSettings(
            root.texts("gateways"),
            root.text("standin"),
            root.text("path"),
            root.integer("seed", 0, Integer.MAX_VALUE),
            root.integer("readings", 1, 10_000_000),
            root.integer("ratePerSecond", 1, 100_000),
            root.integer("deadlineMs", 1, 60_000),
            root.integer("expectedBatchTasks", 0, 1_000_000, 0));
    root.finish();
    return settings;
  }
}
