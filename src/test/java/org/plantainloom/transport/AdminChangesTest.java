package org.plantainloom.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.plantainloom.state.BatchJobSpec;
import org.plantainloom.state.ConfigIndex;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.ZoneName;
import org.plantainloom.support.FakeStore;
import org.plantainloom.support.Teams;
import org.plantainloom.transport.admin.ChangeOutcome;
import org.plantainloom.transport.admin.ChangeRequest;
import org.plantainloom.transport.admin.ConfigChanges;
import org.plantainloom.transport.admin.JobChanges;
import org.plantainloom.transport.admin.Tokens;
import org.testng.annotations.Test;

/** Changes of the configuration by operators who race and answers that are lost. */
public class AdminChangesTest {
  private static final ZoneName YUCHI = new ZoneName("nantou-yuchi");
  private static final ZoneName LUGU = new ZoneName("nantou-lugu");

  /** Answers of the store that are lost after the write took effect. */
  public static class LostAnswers {
    @Test
    public void should_accept_a_change_once_when_the_answer_of_its_write_is_lost() {
      // given
      ConfigChanges changes = new ConfigChanges(new FakeStore().losingAnswers(1));
      // when
      ChangeOutcome outcome = changes.changeZone(anyRevision("change-1"), YUCHI, true);
      // then
      assertThat(outcome).isEqualTo(new ChangeOutcome.Accepted(1));
      assertThat(changes.index().orElseThrow().changes()).containsExactly("change-1");
    }

    @Test
    public void should_put_a_team_in_force_once_when_both_answers_are_lost() {
      // given
      ConfigChanges changes = new ConfigChanges(new FakeStore().losingAnswers(3));
      TeamConfig config = Teams.withService(Teams.HENGTAI, "leafweigh", 3);
      // when
      ChangeOutcome outcome =
          changes.changeTeam(anyRevision("change-1"), Teams.HENGTAI, before -> config);
      // then
      assertThat(outcome).isEqualTo(new ChangeOutcome.Accepted(1));
      ConfigIndex index = changes.index().orElseThrow();
      assertThat(changes.teamConfig(index, Teams.HENGTAI)).contains(config);
    }

    @Test
    public void should_create_a_job_once_when_the_request_is_repeated() {
      // given
      JobChanges changes = new JobChanges(new FakeStore().losingAnswers(1));
      BatchJobSpec job = Teams.job("scores", 5, 1, 1_000);
      // when
      ChangeOutcome first = changes.create("change-1", Teams.HENGTAI, job);
      ChangeOutcome again = changes.create("change-1", Teams.HENGTAI, job);
      ChangeOutcome other = changes.create("change-2", Teams.HENGTAI, job);
      // then
      assertThat(first).isEqualTo(again).isInstanceOf(ChangeOutcome.Accepted.class);
      assertThat(other).isInstanceOf(ChangeOutcome.Rejected.class);
    }
  }

  /** Operators who race one another. */
  public static class Races {
    @Test
    public void should_tell_the_loser_the_revision_and_change_of_the_winner() {
      // given: both have seen revision 0
      ConfigChanges changes = new ConfigChanges(new FakeStore());
      // when
      ChangeOutcome winner =
          changes.changeZone(new ChangeRequest("winner", Optional.of(0L)), YUCHI, true);
      ChangeOutcome loser =
          changes.changeZone(new ChangeRequest("loser", Optional.of(0L)), LUGU, true);
      // then
      assertThat(winner).isEqualTo(new ChangeOutcome.Accepted(1));
      assertThat(loser).isEqualTo(new ChangeOutcome.Conflict(1, "winner"));
      assertThat(changes.index().orElseThrow().zonesOut()).containsExactly(YUCHI);
    }
  }

  /** Many operators at the same time. */
  public static class Crowds {
    private static final int OPERATORS = 16;

    @Test
    public void should_accept_every_change_of_operators_who_do_not_exclude_each_other() {
      // given
      ConfigChanges changes = new ConfigChanges(new FakeStore());
      // when
      List<CompletableFuture<ChangeOutcome>> outcomes =
          IntStream.range(0, OPERATORS)
              .mapToObj(
                  i ->
                      CompletableFuture.supplyAsync(
                          () ->
                              changes.changeZone(
                                  anyRevision("change-" + i), new ZoneName("zone-" + i), true),
                          task -> new Thread(task, "operator-" + i).start()))
              .toList();
      // then
      outcomes.forEach(o -> assertThat(o.join()).isInstanceOf(ChangeOutcome.Accepted.class));
      assertThat(changes.index().orElseThrow().zonesOut()).hasSize(OPERATORS);
    }
  }

  /** Tokens of teams and operators. */
  public static class Access {
    private static final Tokens TOKENS =
        new Tokens("secret", new TreeMap<>(Map.of(Teams.HENGTAI, "leaf")));

    @Test
    public void should_let_a_team_reach_itself_only() {
      assertThat(TOKENS.allowsTeam("Bearer leaf", Teams.HENGTAI)).isTrue();
      assertThat(TOKENS.allowsTeam("Bearer leaf", new TeamId("tsetseg"))).isFalse();
      assertThat(TOKENS.allowsOperators("Bearer leaf")).isFalse();
    }

    @Test
    public void should_let_operators_reach_every_team() {
      assertThat(TOKENS.allowsTeam("Bearer secret", new TeamId("tsetseg"))).isTrue();
    }

    @Test
    public void should_refuse_a_missing_or_wrong_token() {
      assertThat(TOKENS.allowsOperators(null)).isFalse();
      assertThat(TOKENS.allowsTeam("Bearer wrong", Teams.HENGTAI)).isFalse();
    }
  }

  private static ChangeRequest anyRevision(String changeId) {
    return new ChangeRequest(changeId, Optional.empty());
  }
}
