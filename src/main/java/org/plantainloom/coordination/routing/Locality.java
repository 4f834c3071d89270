package org.plantainloom.coordination.routing;

/** Distance of a replica from the gateway, nearest first. */
public enum Locality {
  /** In the same availability zone. */
  SAME_ZONE,
  /** In another availability zone of the same region. */
  SAME_REGION,
  /** In another region, across a paid link. */
  OTHER_REGION
}
