package org.plantainloom.transport.admin;

import org.plantainloom.protocol.message.ApiError;

/** Result of a change of the configuration or of a team's jobs. */
public sealed interface ChangeOutcome {
  /**
   * The change was accepted.
   *
   * @param revision revision of the changed document that contains the change
   */
  record Accepted(long revision) implements ChangeOutcome {}

  /**
   * The configuration is not at the expected revision.
   *
   * @param currentRevision the current revision
   * @param changeId id of the latest accepted change
   */
  record Conflict(long currentRevision, String changeId) implements ChangeOutcome {}

  /**
   * The change is not possible.
   *
   * @param error the reason, as returned to the operator
   */
  record Rejected(ApiError error) implements ChangeOutcome {}

  /**
   * The attempts are exhausted; the change may or may not have been accepted, and may be sent again
   * under the same change id.
   *
   * @param reason why the last attempt failed
   */
  record Unavailable(String reason) implements ChangeOutcome {}
}
