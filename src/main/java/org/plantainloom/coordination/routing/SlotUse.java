package org.plantainloom.coordination.routing;

/**
 * Use of one worker's slots as one gateway sees it.
 *
 * @param ownInFlight requests that this gateway has in flight there
 * @param reportedInFlight requests in flight there by the worker's last word; counts those sent
 *     since
 * @param slots requests the worker serves at a time
 * @param gateways gateways that share the worker
 */
public record SlotUse(int ownInFlight, int reportedInFlight, int slots, int gateways) {}
