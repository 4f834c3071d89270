package org.plantainloom.coordination.config;

import org.plantainloom.state.VmListing;
import org.plantainloom.state.WorkerInfo;

/**
 * Size of the fleet that a configuration is generated for.
 *
 * @param zones number of availability zones
 * @param racks number of racks
 */
public record FleetShape(int zones, int racks) {
  /** Returns the shape of the listed fleet. */
  public static FleetShape of(VmListing listing) {
    long zones = listing.workers().stream().map(WorkerInfo::zone).distinct().count();
    long racks = listing.workers().stream().map(WorkerInfo::rack).distinct().count();
    return new FleetShape((int) zones, (int) racks);
  }
}
