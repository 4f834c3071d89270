package org.plantainloom.platform;

import org.plantainloom.protocol.document.DocumentReader;
import org.plantainloom.protocol.document.InvalidDocumentException;

/**
 * Settings of a node, read from the file that the platform renders from {@code deploy/node.jsonc}.
 *
 * @param name the node's name
 * @param callerAddress host and port of the HTTP API for callers
 * @param readinessAddress host and port at which the load balancer checks this node's readiness
 * @param controlAddress host and port at which this node serves metrics and the queries of other
 *     nodes
 * @param storeAddress host and port of the platform's store
 * @param coreShare share of a core that the node may use
 * @param coreSpeed speed of that core, as a multiple of an ordinary one
 * @param maxLeaseMs longest lease that workers grant, in milliseconds
 * @param stopGraceMs longest time a worker takes to stop a run, in milliseconds
 * @param stopWithinMs time between SIGTERM and SIGKILL when the platform stops a node, in
 *     milliseconds
 */
public record NodeSettings(
    String name,
    String callerAddress,
    String readinessAddress,
    String controlAddress,
    String storeAddress,
    double coreShare,
    double coreSpeed,
    int maxLeaseMs,
    int stopGraceMs,
    int stopWithinMs) {
  /** Environment variable with which the platform passes the path of the settings file. */
  public static final String PATH_VARIABLE = "PLANTAINLOOM_BOOT";

  private static final double MAX_CORES = 1_000;
  private static final int MAX_SETTING_MS = 600_000;
  private static final int MAX_SETTING_S = 600;

  /** Reads the settings from the root of a document. */
  public static NodeSettings read(DocumentReader root) throws InvalidDocumentException {
    NodeSettings settings =
        new NodeSettings(
            root.name("name"),
            root.text("callerAddress"),
            root.text("readinessAddress"),
            root.text("controlAddress"),
            root.text("storeAddress"),
            root.decimal("coreShare", 0.001, MAX_CORES),
            root.decimal("coreSpeed", 0.001, MAX_CORES),
            root.integer("maxLeaseMs", 1, MAX_SETTING_MS),
            root.integer("stopGraceMs", 1, MAX_SETTING_MS),
            root.integer("stopWithinS", 1, MAX_SETTING_S) * 1_000);
    root.finish();
    return settings;
  }

  /** Returns the processor time that the node has per second, in ordinary cores. */
  public double processors() {
    return coreShare * coreSpeed;
  }
}
