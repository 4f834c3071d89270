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
import org.plantainloom.state.Keys;
import org.plantainloom.state.TeamConfig;
import org.plantainloom.state.TeamId;
import org.plantainloom.state.ZoneName;
import org.plantainloom.support.DamagedEntries;
import org.plantainloom.support.FakeStore;
import org.plantainloom.support.Teams;
import org.plantainloom.support.WatchableStore;
import org.plantainloom.transport.admin.ChangeOutcome;
import org.plantainloom.transport.admin.ChangeRequest;
import org.plantainloom.transport.admin.ConfigChanges;
import org.plantainloom.transport.admin.JobChanges;
import org.plantainloom.transport.admin.Tokens;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Configuration and job changes with lost store replies and concurrent operators; API tokens. */
public class AdminChangesTest {
  private static final ZoneName YUCHI = new ZoneName("nantou-yuchi");
  private static final ZoneName LUGU = new ZoneName("nantou-lugu");

  /** Replies of the store that are lost after the write has taken effect. */
  public static class LostReplies {
    @Test
    public void should_accept_a_change_once_when_the_reply_to_its_write_is_lost() {
      // given
      ConfigChanges changes = new ConfigChanges(new FakeStore().losingAnswers(1));
      // when
      ChangeOutcome outcome = changes.changeZone(anyRevision("change-1"), YUCHI, true);
      // then
      assertThat(outcome).isEqualTo(new ChangeOutcome.Accepted(1));
      assertThat(changes.index().orElseThrow().changes()).containsExactly("change-1");
    }

    @Test
    public void should_apply_a_team_configuration_once_when_several_replies_are_lost() {
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

  /** Documents that another writer has damaged. */
  public static class DamagedDocuments {
    @DataProvider
    public static Object[][] damaged() {
      return DamagedEntries.ALL.stream().map(e -> new Object[] {e}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "damaged")
    public void should_reject_a_change_and_keep_an_unreadable_index(String damaged) {
      // given
      WatchableStore store = new WatchableStore();
      store.put(Keys.CONFIG_INDEX, damaged);
      ConfigChanges changes = new ConfigChanges(store);
      // when
      ChangeOutcome outcome = changes.changeZone(anyRevision("change-1"), YUCHI, true);
      // then
      assertThat(outcome).isInstanceOf(ChangeOutcome.Unavailable.class);
      assertThat(changes.index()).isEmpty();
      assertThat(store.value(Keys.CONFIG_INDEX)).contains(damaged);
    }

    @Test(dataProvider = "damaged")
    public void should_reject_a_change_of_a_team_whose_configuration_is_unreadable(String damaged) {
      // given
      WatchableStore store = new WatchableStore();
      ConfigChanges changes = new ConfigChanges(store);
      TeamConfig config = Teams.withService(Teams.HENGTAI, "leafweigh", 3);
      changes.changeTeam(anyRevision("change-1"), Teams.HENGTAI, before -> config);
      ConfigIndex index = changes.index().orElseThrow();
      String key = Keys.teamConfig(Teams.HENGTAI, index.teams().get(Teams.HENGTAI));
      store.put(key, damaged);
      // when
      ChangeOutcome outcome =
          changes.changeTeam(
              anyRevision("change-2"), Teams.HENGTAI, before -> before.withoutService("leafweigh"));
      // then
      assertThat(outcome).isInstanceOf(ChangeOutcome.Unavailable.class);
      assertThat(changes.teamConfig(index, Teams.HENGTAI)).isEmpty();
      assertThat(changes.index()).contains(index);
    }

    @Test(dataProvider = "damaged")
    public void should_reject_a_job_and_keep_an_unreadable_jobs_document(String damaged) {
      // given
      WatchableStore store = new WatchableStore();
      store.put(Keys.jobs(Teams.HENGTAI), damaged);
      JobChanges changes = new JobChanges(store);
      // when
      ChangeOutcome created =
          changes.create("change-1", Teams.HENGTAI, Teams.job("scores", 5, 1, 1_000));
      ChangeOutcome cancelled = changes.cancel(Teams.HENGTAI, "scores");
      // then
      assertThat(created).isInstanceOf(ChangeOutcome.Unavailable.class);
      assertThat(cancelled).isInstanceOf(ChangeOutcome.Unavailable.class);
      assertThat(store.value(Keys.jobs(Teams.HENGTAI))).contains(damaged);
    }
  }

  /** Changes that expect the same revision. */
  public static class ConflictingChanges {
    @Test
    public void
        should_return_the_current_revision_and_its_change_when_the_expected_revision_is_outdated() {
      // given: both operators have read revision 0
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

  /** Changes that many operators make at the same time. */
  public static class ConcurrentChanges {
    private static final int OPERATORS = 16;

    @Test
    public void should_accept_all_concurrent_changes_that_expect_no_revision() {
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
      outcomes.forEach(
          outcome -> assertThat(outcome.join()).isInstanceOf(ChangeOutcome.Accepted.class));
      assertThat(changes.index().orElseThrow().zonesOut()).hasSize(OPERATORS);
    }
  }

  /** Authorization by the tokens of teams and operators. */
  public static class Authorization {
    private static final Tokens TOKENS =
        new Tokens("secret", new TreeMap<>(Map.of(Teams.HENGTAI, "leaf")));

    @Test
    public void should_authorize_a_team_token_for_its_own_team_only() {
      assertThat(TOKENS.allowsTeam("Bearer leaf", Teams.HENGTAI)).isTrue();
      assertThat(TOKENS.allowsTeam("Bearer leaf", new TeamId("tsetseg"))).isFalse();
      assertThat(TOKENS.allowsOperators("Bearer leaf")).isFalse();
    }

    @Test
    public void should_authorize_the_operators_token_for_every_team() {
      assertThat(TOKENS.allowsTeam("Bearer secret", new TeamId("tsetseg"))).isTrue();
    }

    @Test
    public void should_reject_a_missing_or_wrong_token() {
      assertThat(TOKENS.allowsOperators(null)).isFalse();
      assertThat(TOKENS.allowsTeam("Bearer wrong", Teams.HENGTAI)).isFalse();
    }
  }

  private static ChangeRequest anyRevision(String changeId) {
    return new ChangeRequest(changeId, Optional.empty());
  }
}
