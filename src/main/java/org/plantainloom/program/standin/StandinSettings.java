package org.plantainloom.program.standin;

import java.util.List;
import org.plantainloom.program.CommonSettings;
import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;
import org.plantainloom.state.ResourceVector;
import org.plantainloom.state.ZoneName;

/**
 * Settings of the stand-in.
 *
 * @param common settings common to all programs
 * @param seed seed of all random number generators
 * @param requestMs mean duration of a request, in milliseconds
 * @param runTimeErrorFactor largest factor by which the actual run time of a batch task is longer
 *     or shorter than the declared one
 * @param zones the zones with their workers
 */
record StandinSettings(
    CommonSettings common,
    int seed,
    int requestMs,
    double runTimeErrorFactor,
    List<ZoneSettings> zones) {

  /**
   * Workers of one zone.
   *
   * @param zone the availability zone
   * @param region its region
   * @param workers number of workers
   * @param workersPerRack workers in each rack
   * @param capacity capacity of each worker
   * @param slots requests that each worker serves at a time
   * @param connections connections that each worker accepts
   */
  record ZoneSettings(
      ZoneName zone,
      String region,
      int workers,
      int workersPerRack,
      ResourceVector capacity,
      int slots,
      int connections) {}

  static StandinSettings read(DocumentReader root) throws InvalidDocumentException {
    StandinSettings settings =
        new StandinSettings(
            CommonSettings.read(root),
            root.integer("seed", 0, Integer.MAX_VALUE),
            root.integer("requestMs", 0, 10_000),
            root.decimal("runTimeLies", 1, 10),
            root.objects("zones").stream().map(StandinSettings::zone).toList());
    root.finish();
    return settings;
  }

  private static ZoneSettings zone(DocumentReader reader) {
    return new ZoneSettings(
        new ZoneName(reader.name("zone")),
        reader.name("region"),
        reader.integer("workers", 1, 1_000),
        reader.integer("workersPerRack", 1, 1_000),
        new ResourceVector(
            reader.integer("cores", 1, 1_000) * 1_000,
            reader.integer("memoryGb", 1, 100_000) * 1_024,
            reader.integer("accelerators", 0, 64, 0)),
        reader.integer("slots", 1, 1_000),
        reader.integer("connections", 1, 10_000));
  }
}
