package org.plantainloom.transport.http;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.message.ApiError;

/** Builds HTTP responses with JSON bodies. */
public final class Replies {
  private Replies() {}

  /** Returns a JSON response with status 200. */
  public static HttpResponse ok(Object body) {
    return of(HttpStatus.OK, body);
  }

  /** Returns a JSON response. */
  public static HttpResponse of(HttpStatus status, Object body) {
    return HttpResponse.of(status, MediaType.JSON_UTF_8, Json.write(body));
  }

  /** Returns an error response of the administration API. */
  public static HttpResponse error(HttpStatus status, String code, String message) {
    return of(status, ApiError.of(code, message));
  }
}
