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
 * @param common what every program has
 * @param seed seed of all random choices
 * @param requestMs mean time of one request in milliseconds
 * @param runTimeLies true run times are up to this many times the declared ones, or that part
 * @param zones the zones with their workers
 */
record StandinSettings(
    CommonSettings common, int seed, int requestMs, double runTimeLies, List<ZoneSettings> zones) {

  /**
   * Workers of one zone.
   *
   * @param zone the availability zone
   * @param region its region
   * @param workers number of workers
   * @param workersPerRack workers in each rack
   * @param capacity capacity of each worker
   * @param slots requests served at a time by each worker
   * @param connections connections accepted by each worker
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
