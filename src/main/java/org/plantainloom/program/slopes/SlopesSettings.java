package org.plantainloom.program.slopes;

import java.util.List;
import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;

/**
 * Settings of one step of a measurement.
 *
 * @param workers size that is being measured, in workers
 * @param seconds length of the window
 * @param samples file that samples are appended to, one JSON line each
 * @param processes processes to watch; empty to fit the samples instead
 */
record SlopesSettings(int workers, int seconds, String samples, List<Watched> processes) {

  /**
   * One process to watch.
   *
   * @param role its role, as in docs/CAPACITY.md
   * @param pid its process id
   * @param address host and port of its HTTP server
   */
  record Watched(String role, int pid, String address) {}

  static SlopesSettings read(DocumentReader root) throws InvalidDocumentException {
    SlopesSettings settings =
        new SlopesSettings(
            root.integer("workers", 0, 100_000),
            root.integer("seconds", 0, 600),
            root.text("samples"),
            root.objects("processes").stream()
                .map(
                    p ->
                        new Watched(
                            p.name("role"),
                            p.integer("pid", 1, Integer.MAX_VALUE),
                            p.text("address")))
                .toList());
    root.finish();
    return settings;
  }
}
