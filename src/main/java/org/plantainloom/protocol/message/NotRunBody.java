package org.plantainloom.protocol.message;

/**
 * Body of a refusal: the request did not run.
 *
 * @param outcome always not-run
 * @param reason stable code of the reason
 * @param requestId identity of the request
 * @param retryAfterMs when to try again, in milliseconds
 */
public record NotRunBody(String outcome, String reason, String requestId, long retryAfterMs) {}
