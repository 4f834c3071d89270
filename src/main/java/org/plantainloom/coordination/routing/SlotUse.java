package org.plantainloom.coordination.routing;

/**
 * Use of one worker's slots as seen by one gateway.
 *
 * @param ownInFlight number of requests that this gateway has in flight at the worker
 * @param reportedInFlight number of requests in flight at the worker as last reported, plus those
 *     that this gateway sent since; {@code slots} if the last report is too old
 * @param slots maximum number of requests that the worker serves concurrently
 * @param gateways number of gateways that share the worker
 */
public record SlotUse(int ownInFlight, int reportedInFlight, int slots, int gateways) {}
