package org.plantainloom.transport.admin;

import org.plantainloom.protocol.message.ApiError;

/** How an attempt to change the configuration ended. */
public sealed interface ChangeOutcome {
  /**
   * The change is in force.
   *
   * @param revision revision of the configuration from which it is
   */
  record Accepted(long revision) implements ChangeOutcome {}

  /**
   * The configuration is not at the expected revision.
   *
   * @param currentRevision the revision in force
   * @param changeId the latest accepted change
   */
  record Conflict(long currentRevision, String changeId) implements ChangeOutcome {}

  /**
   * The change makes no sense.
   *
   * @param error what is wrong
   */
  record Rejected(ApiError error) implements ChangeOutcome {}

  /**
   * The store does not answer; the change may be accepted or not, and may be sent again under the
   * same change id.
   *
   * @param reason what happened
   */
  record Unavailable(String reason) implements ChangeOutcome {}
}
