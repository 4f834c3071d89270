package org.plantainloom.coordination.routing;

/** How far a replica is from the gateway, nearest first. */
public enum Locality {
  /** In the same availability zone. */
  SAME_ZONE,
  /** In another availability zone of the region. */
  SAME_REGION,
  /** Across the paid link between regions. */
  OTHER_REGION
}
