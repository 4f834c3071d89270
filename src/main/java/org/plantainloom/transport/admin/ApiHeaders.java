package org.plantainloom.transport.admin;

import com.linecorp.armeria.common.RequestHeaders;
import java.util.Optional;
import java.util.UUID;
import org.plantainloom.state.Names;

/** Headers of the administration API. */
public final class ApiHeaders {
  /** Identity of a change; made up if missing. */
  public static final String CHANGE_ID = "x-change-id";

  /** Revision that the configuration must have for the change to be accepted. */
  public static final String EXPECTED_REVISION = "x-expected-revision";

  /** If present, nothing is changed and the would-be result is returned. */
  public static final String DRY_RUN = "x-dry-run";

  private ApiHeaders() {}

  static ChangeRequest change(RequestHeaders headers) {
    String given = headers.get(CHANGE_ID);
    String changeId = Names.isName(given) ? given : UUID.randomUUID().toString();
    return new ChangeRequest(changeId, Optional.ofNullable(headers.getLong(EXPECTED_REVISION)));
  }
}
