package org.plantainloom.program.slopes;

import java.util.List;
import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;

/**
 * Settings of a run: one measurement window, or the regression over all samples.
 *
 * @param workers current size of the fleet, in workers
 * @param seconds length of the measurement window, in seconds
 * @param samples file to which samples are appended, one JSON object per line
 * @param processes processes to measure; empty to run the regression instead
 */
record SlopesSettings(int workers, int seconds, String samples, List<MonitoredProcess> processes) {

  /**
   * A process to measure.
   *
   * @param role its role, named as in docs/CAPACITY.md
   * @param pid its process id
   * @param address host and port of its HTTP server
   */
  record MonitoredProcess(String role, int pid, String address) {}

  static SlopesSettings read(DocumentReader root) throws InvalidDocumentException {
    SlopesSettings settings =
        new SlopesSettings(
            root.integer("workers", 0, 100_000),
            root.integer("seconds", 0, 600),
            root.text("samples"),
            root.objects("processes").stream()
                .map(
                    p ->
                        new MonitoredProcess(
                            p.name("role"),
                            p.integer("pid", 1, Integer.MAX_VALUE),
                            p.text("address")))
                .toList());
    root.finish();
    return settings;
  }
}
