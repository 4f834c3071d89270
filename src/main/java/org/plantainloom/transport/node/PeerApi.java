package org.plantainloom.transport.node;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import java.util.concurrent.CompletableFuture;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.message.ExchangeRequest;
import org.plantainloom.state.TeamId;
import org.plantainloom.transport.http.Replies;

/** Answers the messages of other processes of the system. */
public final class PeerApi {
  private static final long MAX_WAIT_MS = 10_000;

  private final SchedulerComponents duties;

  /** Creates the API of one scheduler. */
  public PeerApi(SchedulerComponents duties) {
    this.duties = duties;
  }

  /** Takes the planner's plans. */
  @Post(PeerPaths.EXCHANGE)
  public CompletableFuture<HttpResponse> exchange(String body) {
    ExchangeRequest request = Json.read(body, ExchangeRequest.class);
    return duties.racks().exchange(request).thenApply(Replies::ok);
  }

  /** Returns routes newer than the known ones; 204 if there are none before the wait is over. */
  @Get(PeerPaths.ROUTES)
  public CompletableFuture<HttpResponse> routes(
      @Param("epoch") long epoch, @Param("version") long version, @Param("waitMs") long waitMs) {
    return duties
        .planner()
        .routesAfter(epoch, version, Math.min(waitMs, MAX_WAIT_MS))
        .thenApply(table -> table.map(Replies::ok).orElse(HttpResponse.of(HttpStatus.NO_CONTENT)));
  }

  /** Takes word that a team's jobs changed; 409 if this scheduler does not plan. */
  @Post(PeerPaths.JOBS_CHANGED)
  public CompletableFuture<HttpResponse> jobsChanged(@Param("team") String team) {
    return duties
        .planner()
        .jobsChanged(new TeamId(team))
        .thenApply(
            planning -> HttpResponse.of(planning ? HttpStatus.NO_CONTENT : HttpStatus.CONFLICT));
  }

  /** Returns the planner's snapshot; 409 if this scheduler does not plan. */
  @Get(PeerPaths.SNAPSHOT)
  public CompletableFuture<HttpResponse> snapshot() {
    return duties
        .planner()
        .snapshot()
        .thenApply(
            snapshot -> snapshot.map(Replies::ok).orElse(HttpResponse.of(HttpStatus.CONFLICT)));
  }
}
