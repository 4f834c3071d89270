package org.plantainloom.coordination.routing;

import java.util.OptionalInt;

/**
 * What an attempt tells about the replica it went to.
 *
 * @param healthy whether the replica answered without an error of its own
 * @param countsAsFailure whether a failure counts against the replica
 * @param latencyMs time the attempt took, in milliseconds
 * @param reportedInFlight requests in flight at the worker, by its own word
 */
public record AttemptFeedback(
    boolean healthy, boolean countsAsFailure, double latencyMs, OptionalInt reportedInFlight) {}
