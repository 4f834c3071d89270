package org.plantainloom.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import java.util.List;
import org.plantainloom.protocol.Headers;
import org.plantainloom.support.GatewayFixture;
import org.plantainloom.support.ScriptedUpstream;
import org.plantainloom.support.ScriptedUpstream.Script;
import org.plantainloom.transport.gateway.GatewayService;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The outcome that callers receive, and how often a request runs, for each upstream fault. */
public class GatewayOutcomeTest {
  /** Deadline of requests that no upstream answers in time. */
  private static final String SHORT_DEADLINE_MS = "400";

  /** Longer than any pause of a busy machine, for requests whose outcome the upstream decides. */
  private static final String LONG_DEADLINE_MS = "60000";

  /** Rows of the table in docs/operators/gateway.md: fault, idempotent, outcome, most runs. */
  @DataProvider
  public static Object[][] faults() {
    return new Object[][] {
      {Script.ANSWER, false, "answered", 1},
      {Script.ANSWER, true, "answered", 1},
      {Script.REFUSE, false, "not-run", 0},
      {Script.REFUSE, true, "not-run", 0},
      {Script.RUN_AND_CLOSE, false, "unknown", 1},
      {Script.RUN_AND_CLOSE, true, "unknown", 2},
      {Script.TRUNCATE, false, "unknown", 1},
      {Script.TRUNCATE, true, "unknown", 2},
      {Script.WRONG_REQUEST_ID, false, "unknown", 1},
      {Script.WRONG_REQUEST_ID, true, "unknown", 2},
      {Script.NO_RESPONSE, false, "unknown", 0},
    };
  }

  @Test(dataProvider = "faults")
  public void should_report_the_outcome_and_bound_the_runs(
      Script script, boolean idempotent, String outcome, int mostRuns) throws Exception {
    // given: two replicas with the same fault
    try (ScriptedUpstream first = ScriptedUpstream.start(script);
        ScriptedUpstream second = ScriptedUpstream.start(script);
        GatewayFixture gateway = GatewayFixture.start(first.address(), second.address())) {
      // when
      AggregatedHttpResponse answer =
          gateway.send(
              idempotent ? HttpMethod.GET : HttpMethod.POST,
              script == Script.NO_RESPONSE ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS);
      // then
      assertThat(answer.headers().get(Headers.OUTCOME)).isEqualTo(outcome);
      assertThat(first.executions() + second.executions()).isLessThanOrEqualTo(mostRuns);
      assertThat(answer.headers().get(Headers.REQUEST_ID)).isEqualTo("request-1");
    }
  }

  /** Requests of which one attempt was refused or may be refused, and another may have run. */
  public static class UncertainRefusals {
    @Test
    public void should_report_unknown_when_the_refusal_comes_after_the_deadline() throws Exception {
      // given: regression of a run at a load of 20, in which the refusal took longer than 400 ms
      try (ScriptedUpstream late = ScriptedUpstream.start(Script.REFUSE_LATE);
          GatewayFixture gateway = GatewayFixture.start(late.address())) {
        // when
        AggregatedHttpResponse answer = gateway.send(HttpMethod.POST, SHORT_DEADLINE_MS);
        // then
        assertThat(answer.headers().get(Headers.OUTCOME)).isEqualTo("unknown");
      }
    }

    @Test
    public void should_not_report_not_run_when_only_one_of_two_replicas_refused() throws Exception {
      // given: whichever replica is tried first, the other or no attempt decides the outcome
      try (ScriptedUpstream refusing = ScriptedUpstream.start(Script.REFUSE);
          ScriptedUpstream silent = ScriptedUpstream.start(Script.RUN_AND_CLOSE);
          GatewayFixture gateway = GatewayFixture.start(refusing.address(), silent.address())) {
        for (HttpMethod method : List.of(HttpMethod.POST, HttpMethod.GET)) {
          // when
          AggregatedHttpResponse answer = gateway.send(method, LONG_DEADLINE_MS);
          // then
          assertThat(answer.headers().get(Headers.OUTCOME)).as(method.name()).isEqualTo("unknown");
        }
      }
    }
  }

  /** Retries at another replica, and requests that the gateway refuses itself. */
  public static class RetriesAndRefusals {
    @Test
    public void should_try_another_replica_when_one_refuses_connections() throws Exception {
      // given
      ScriptedUpstream closed = ScriptedUpstream.start(Script.ANSWER);
      closed.close();
      try (ScriptedUpstream healthy = ScriptedUpstream.start(Script.ANSWER);
          GatewayFixture gateway = GatewayFixture.start(closed.address(), healthy.address())) {
        for (int i = 0; i < 8; i++) {
          // when
          AggregatedHttpResponse answer = gateway.send(HttpMethod.POST, "5000");
          // then
          assertThat(answer.contentUtf8()).isEqualTo("done");
        }
        assertThat(healthy.executions()).isEqualTo(8);
      }
    }

    @Test
    public void should_reply_not_run_when_the_service_is_unknown() throws Exception {
      try (GatewayFixture gateway = GatewayFixture.start()) {
        // when
        AggregatedHttpResponse answer = gateway.send(HttpMethod.POST, "5000");
        // then
        assertThat(answer.status()).isEqualTo(HttpStatus.SERVICE_UNAVAILABLE);
        assertThat(answer.contentUtf8()).contains("\"reason\":\"no-replica\"");
      }
    }

    @Test
    public void should_reject_a_body_above_the_size_limit() throws Exception {
      try (ScriptedUpstream healthy = ScriptedUpstream.start(Script.ANSWER);
          GatewayFixture gateway = GatewayFixture.start(healthy.address())) {
        // when
        AggregatedHttpResponse answer =
            gateway.send(new byte[(int) GatewayService.MAX_REQUEST_BYTES + 1]);
        // then
        assertThat(answer.status()).isEqualTo(HttpStatus.REQUEST_ENTITY_TOO_LARGE);
        assertThat(healthy.requests()).isZero();
      }
    }
  }
}
