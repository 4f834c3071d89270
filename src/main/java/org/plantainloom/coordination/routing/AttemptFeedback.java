package org.plantainloom.coordination.routing;

import java.util.OptionalInt;

/**
 * Feedback of one attempt about the replica that it was sent to.
 *
 * @param healthy whether the replica answered without an error of its own
 * @param countsAsFailure whether a failure counts against the replica
 * @param latencyMs duration of the attempt, in milliseconds
 * @param reportedInFlight number of requests in flight at the worker, as the worker reports it
 */
public record AttemptFeedback(
    boolean healthy, boolean countsAsFailure, double latencyMs, OptionalInt reportedInFlight) {}
