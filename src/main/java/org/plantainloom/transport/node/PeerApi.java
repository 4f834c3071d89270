package org.plantainloom.transport.node;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.protocol.message.ExchangeRequest;
import org.plantainloom.state.TeamId;
import org.plantainloom.transport.http.Replies;

/** HTTP API of a scheduler for the system's other processes. */
public final class PeerApi {
  private static final long MAX_WAIT_MS = 10_000;

  private final SchedulerComponents components;

  /** Creates the API of one scheduler. */
  public PeerApi(SchedulerComponents components) {
    this.components = components;
  }

  /** Accepts the planner's plans and replies with the statuses of the owned racks. */
  @Post(PeerPaths.EXCHANGE)
  public CompletableFuture<HttpResponse> exchange(String body) {
    ExchangeRequest request;
    try {
      request = Json.read(body, ExchangeRequest.class);
    } catch (MalformedMessageException e) {
      return CompletableFuture.completedFuture(
          Replies.error(HttpStatus.BAD_REQUEST, "malformed", e.getMessage()));
    }
    return components.racks().exchange(request).thenApply(Replies::ok);
  }

  /** Returns routes newer than the known ones; 204 if there are none before the wait ends. */
  @Get(PeerPaths.ROUTES)
  public CompletableFuture<HttpResponse> routes(
      @Param("epoch") long epoch, @Param("version") long version, @Param("waitMs") long waitMs) {
    return components
        .planner()
        .routesAfter(epoch, version, Math.min(waitMs, MAX_WAIT_MS))
        .thenApply(table -> table.map(Replies::ok).orElse(HttpResponse.of(HttpStatus.NO_CONTENT)));
  }

  /**
   * Accepts the notification that a team's jobs changed; 409 if this scheduler is not the planner.
   */
  @Post(PeerPaths.JOBS_CHANGED)
  public CompletableFuture<HttpResponse> jobsChanged(@Param("team") String team) {
    return components
        .planner()
        .jobsChanged(new TeamId(team))
        .thenApply(
            planning -> HttpResponse.of(planning ? HttpStatus.NO_CONTENT : HttpStatus.CONFLICT));
  }

  /** Returns the planner's snapshot; 409 if this scheduler is not the planner. */
  @Get(PeerPaths.SNAPSHOT)
  public CompletableFuture<HttpResponse> snapshot() {
    return components
        .planner()
        .snapshot()
        .thenApply(
            snapshot -> snapshot.map(Replies::ok).orElse(HttpResponse.of(HttpStatus.CONFLICT)));
  }
}
