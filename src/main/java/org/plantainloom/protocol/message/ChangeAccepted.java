package org.plantainloom.protocol.message;

/**
 * Answer to an accepted change.
 *
 * @param changeId identity of the change
 * @param revision revision of the configuration in force after it
 * @param summary what changed, for people
 */
public record ChangeAccepted(String changeId, long revision, String summary) {}
