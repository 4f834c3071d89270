package org.plantainloom.protocol.message;

/**
 * Response to an accepted change.
 *
 * @param changeId id of the change
 * @param revision revision of the configuration that includes the change
 * @param summary what changed, for human readers
 */
public record ChangeAccepted(String changeId, long revision, String summary) {}
