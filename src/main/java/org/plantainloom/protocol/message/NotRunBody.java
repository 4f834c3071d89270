package org.plantainloom.protocol.message;

/**
 * Body of the response to a refused request, which did not run.
 *
 * @param outcome always {@code not-run}
 * @param reason stable code of the reason
 * @param requestId id of the request
 * @param retryAfterMs when to retry, in milliseconds from now
 */
public record NotRunBody(String outcome, String reason, String requestId, long retryAfterMs) {}
