package org.plantainloom.transport.admin;

import com.linecorp.armeria.common.RequestHeaders;
import java.util.Optional;
import java.util.UUID;
import org.plantainloom.state.Names;

/** Headers of the administration API. */
public final class ApiHeaders {
  /** Id of a change; generated if missing. */
  public static final String CHANGE_ID = "x-change-id";

  /** Revision at which the configuration must be for the change to be accepted. */
  public static final String EXPECTED_REVISION = "x-expected-revision";

  /** If present, the result is returned without applying the change. */
  public static final String DRY_RUN = "x-dry-run";

  private ApiHeaders() {}

  static ChangeRequest changeRequest(RequestHeaders headers) {
    String given = headers.get(CHANGE_ID);
    String changeId = Names.isName(given) ? given : UUID.randomUUID().toString();
    return new ChangeRequest(changeId, Optional.ofNullable(headers.getLong(EXPECTED_REVISION)));
  }
}
