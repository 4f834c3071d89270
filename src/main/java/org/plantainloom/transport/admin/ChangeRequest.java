package org.plantainloom.transport.admin;

import java.util.Optional;

/**
 * Identity of a change and what it expects.
 *
 * @param changeId identity; a change is accepted at most once under it
 * @param expectedRevision revision that the configuration must have, if the operator cares
 */
public record ChangeRequest(String changeId, Optional<Long> expectedRevision) {}
