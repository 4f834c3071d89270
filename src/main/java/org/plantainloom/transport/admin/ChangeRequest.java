package org.plantainloom.transport.admin;

import java.util.Optional;

/**
 * Id and precondition of a change.
 *
 * @param changeId id under which the change is accepted at most once
 * @param expectedRevision revision at which the configuration must be; empty for any
 */
public record ChangeRequest(String changeId, Optional<Long> expectedRevision) {}
