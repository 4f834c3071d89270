package org.plantainloom.transport.admin;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.annotation.Blocking;
import com.linecorp.armeria.server.annotation.Delete;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import java.util.Optional;
import java.util.stream.Collectors;
import org.plantainloom.coordination.config.ConfigGenerator;
import org.plantainloom.coordination.config.FleetShape;
import org.plantainloom.coordination.config.Questionnaire;
import org.plantainloom.coordination.plan.PlannerSnapshot;
import org.plantainloom.protocol.document.InvalidDocumentException;
import org.plantainloom.protocol.document.JobRequestReader;
import org.plantainloom.protocol.document.QuestionnaireReader;
import org.plantainloom.protocol.document.ServiceReader;
import org.plantainloom.protocol.message.ChangeAccepted;
import org.plantainloom.protocol.message.JobRequest;
import org.plantainloom.protocol.message.MemberList;
import org.plantainloom.state.BatchJobSpec;
import org.plantainloom.state.BatchKind;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.PlannerRecord;
import org.plantainloom.state.ServiceSpec;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.ZoneName;
import org.plantainloom.transport.http.HttpReply;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;
import org.plantainloom.transport.http.Replies;
import org.plantainloom.transport.node.Membership;
import org.plantainloom.transport.node.PeerPaths;
import org.plantainloom.transport.node.SchedulerComponents;

/**
 * The administration API: questionnaire, intents, status.
 *
 * <p>Every change carries a change id and may be sent again under it. Errors have stable codes.
 */
@Blocking
public final class AdminApi {
  private static final long PEER_TIMEOUT_MS = 1_000;
  private static final int NOTIFY_ATTEMPTS = 5;

  private final ProcessContext process;
  private final ConfigChanges configChanges;
  private final JobChanges jobChanges;
  private final SchedulerComponents duties;
  private final JsonClient client;
  private final Tokens tokens;

  /** Creates the API of one scheduler. */
  public AdminApi(
      ProcessContext process,
      KeyValueStore store,
      SchedulerComponents duties,
      JsonClient client,
      Tokens tokens) {
    this.process = process;
    this.configChanges = new ConfigChanges(store);
    this.jobChanges = new JobChanges(store);
    this.duties = duties;
    this.client = client;
    this.tokens = tokens;
  }

  /** Generates and puts in force the configuration of a questionnaire. */
  @Post("/v1/questionnaires")
  public HttpResponse submitQuestionnaire(RequestHeaders headers, String body) {
    Questionnaire answers;
    try {
      answers = QuestionnaireReader.read("questionnaire", body);
    } catch (InvalidDocumentException e) {
      return Replies.of(HttpStatus.BAD_REQUEST, ApiErrors.invalid(e));
    }
    if (!tokens.allowsTeam(headers.get(HttpHeaderNames.AUTHORIZATION), answers.team())) {
      return ApiErrors.forbidden();
    }
    TeamConfig config = ConfigGenerator.generate(answers, FleetShape.of(duties.vmList().latest()));
    if (headers.contains(ApiHeaders.DRY_RUN)) {
      return Replies.ok(config);
    }
    ChangeRequest request = ApiHeaders.change(headers);
    return answer(
        request,
        configChanges.changeTeam(request, answers.team(), before -> config),
        "configuration of " + answers.team() + " generated: " + describe(config));
  }

  private static String describe(TeamConfig config) {
    return config.services().stream()
        .map(s -> s.name() + " x" + s.replicas())
        .collect(Collectors.joining(", "));
  }

  /** Creates a service, or replaces the one of that name. */
  @Post("/v1/teams/{team}/services")
  public HttpResponse createService(
      RequestHeaders headers, @Param("team") String team, String body) {
    TeamId id = new TeamId(team);
    if (!tokens.allowsTeam(headers.get(HttpHeaderNames.AUTHORIZATION), id)) {
      return ApiErrors.forbidden();
    }
    ServiceSpec service;
    try {
      service = ServiceReader.read("service", body);
    } catch (InvalidDocumentException e) {
      return Replies.of(HttpStatus.BAD_REQUEST, ApiErrors.invalid(e));
    }
    ChangeRequest request = ApiHeaders.change(headers);
    return answer(
        request,
        configChanges.changeTeam(request, id, c -> c.withService(service)),
        "service " + team + "/" + service.name() + " x" + service.replicas());
  }

  /** Removes a service. */
  @Delete("/v1/teams/{team}/services/{service}")
  public HttpResponse removeService(
      RequestHeaders headers, @Param("team") String team, @Param("service") String service) {
    TeamId id = new TeamId(team);
    if (!tokens.allowsTeam(headers.get(HttpHeaderNames.AUTHORIZATION), id)) {
      return ApiErrors.forbidden();
    }
    ChangeRequest request = ApiHeaders.change(headers);
    return answer(
        request,
        configChanges.changeTeam(request, id, c -> c.withoutService(service)),
        "service " + team + "/" + service + " removed");
  }

  /** Creates a batch job of a declared kind. */
  @Post("/v1/teams/{team}/jobs")
  public HttpResponse createJob(RequestHeaders headers, @Param("team") String team, String body) {
    TeamId id = new TeamId(team);
    if (!tokens.allowsTeam(headers.get(HttpHeaderNames.AUTHORIZATION), id)) {
      return ApiErrors.forbidden();
    }
    JobRequest job;
    try {
      job = JobRequestReader.read("job", body);
    } catch (InvalidDocumentException e) {
      return Replies.of(HttpStatus.BAD_REQUEST, ApiErrors.invalid(e));
    }
    Optional<TeamConfig> config =
        configChanges.index().flatMap(i -> configChanges.teamConfig(i, id));
    if (config.isEmpty()) {
      return ApiErrors.unavailable("the team's configuration could not be read");
    }
    Optional<BatchKind> kind = config.get().batchKind(job.kind());
    if (kind.isEmpty()) {
      return Replies.error(
          HttpStatus.NOT_FOUND,
          "unknown-kind",
          "expected a kind of batch work that " + team + " declared but found " + job.kind());
    }
    ChangeRequest request = ApiHeaders.change(headers);
    BatchJobSpec spec = kind.get().job(job.name(), job.tasks(), job.urgent());
    ChangeOutcome outcome = jobChanges.create(request.changeId(), id, spec);
    tellPlanner(id);
    return answer(request, outcome, "job " + team + "/" + job.name() + " x" + job.tasks());
  }

  /** Cancels a batch job. */
  @Delete("/v1/teams/{team}/jobs/{job}")
  public HttpResponse cancelJob(
      RequestHeaders headers, @Param("team") String team, @Param("job") String job) {
    TeamId id = new TeamId(team);
    if (!tokens.allowsTeam(headers.get(HttpHeaderNames.AUTHORIZATION), id)) {
      return ApiErrors.forbidden();
    }
    ChangeOutcome outcome = jobChanges.cancel(id, job);
    tellPlanner(id);
    return answer(ApiHeaders.change(headers), outcome, "job " + team + "/" + job + " cancelled");
  }

  /** Takes an availability zone out. */
  @Post("/v1/zones/{zone}/out")
  public HttpResponse takeZoneOut(RequestHeaders headers, @Param("zone") String zone) {
    return changeZone(headers, zone, true);
  }

  /** Brings an availability zone back. */
  @Post("/v1/zones/{zone}/in")
  public HttpResponse bringZoneBack(RequestHeaders headers, @Param("zone") String zone) {
    return changeZone(headers, zone, false);
  }

  private HttpResponse changeZone(RequestHeaders headers, String zone, boolean out) {
    if (!tokens.allowsOperators(headers.get(HttpHeaderNames.AUTHORIZATION))) {
      return ApiErrors.forbidden();
    }
    boolean known =
        duties.vmList().latest().workers().stream().anyMatch(w -> w.zone().value().equals(zone));
    if (!known) {
      return Replies.error(
          HttpStatus.NOT_FOUND,
          "unknown-zone",
          "expected an availability zone with workers but found " + zone);
    }
    ChangeRequest request = ApiHeaders.change(headers);
    return answer(
        request,
        configChanges.changeZone(request, new ZoneName(zone), out),
        "availability zone " + zone + (out ? " is out" : " is back"));
  }

  /** Returns services, jobs, workers and zones. */
  @Get("/v1/status")
  public HttpResponse status(RequestHeaders headers) {
    if (!tokens.allowsOperators(headers.get(HttpHeaderNames.AUTHORIZATION))) {
      return ApiErrors.forbidden();
    }
    Optional<PlannerSnapshot> own = duties.planner().snapshot().join();
    if (own.isPresent()) {
      return Replies.ok(own.get());
    }
    Optional<String> planner = duties.membership().membership().plannerAddress();
    if (planner.isEmpty()) {
      return ApiErrors.unavailable("no planner is known");
    }
    HttpReply reply = client.get(planner.get(), PeerPaths.SNAPSHOT, PEER_TIMEOUT_MS).join();
    return reply.isSuccess()
        ? HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, reply.body())
        : ApiErrors.unavailable("the planner did not answer");
  }

  /** Returns the processes that are alive. */
  @Get("/v1/members")
  public HttpResponse members(RequestHeaders headers) {
    if (!tokens.allowsOperators(headers.get(HttpHeaderNames.AUTHORIZATION))) {
      return ApiErrors.forbidden();
    }
    Membership membership = duties.membership().membership();
    return Replies.ok(
        new MemberList(
            membership.view().members(), membership.planner().map(PlannerRecord::owner)));
  }

  private void tellPlanner(TeamId team) {
    for (int attempt = 0; attempt < NOTIFY_ATTEMPTS; attempt++) {
      if (duties.planner().jobsChanged(team).join()) {
        return;
      }
      Optional<String> planner = duties.membership().membership().plannerAddress();
      if (planner.isPresent()) {
        String path = PeerPaths.JOBS_CHANGED + "?team=" + team;
        HttpReply reply =
            client.send(HttpMethod.POST, planner.get(), path, "", PEER_TIMEOUT_MS).join();
        if (reply.isSuccess()) {
          return;
        }
      }
    }
  }

  private HttpResponse answer(ChangeRequest request, ChangeOutcome outcome, String summary) {
    if (outcome instanceof ChangeOutcome.Accepted accepted) {
      process.record(EventKind.CHANGE_ACCEPTED, request.changeId(), summary);
      return Replies.ok(new ChangeAccepted(request.changeId(), accepted.revision(), summary));
    }
    return ApiErrors.of(outcome);
  }
}
