package org.plantainloom.transport.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.plantainloom.protocol.Json;
import org.plantainloom.state.Keys;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.state.PlannerRecord;
import org.plantainloom.state.ZoneName;
import org.plantainloom.support.Await;
import org.plantainloom.support.CapturedLog;
import org.plantainloom.support.DamagedEntries;
import org.plantainloom.support.WatchableStore;
import org.plantainloom.transport.http.ProcessContext;
import org.testng.annotations.Test;

/** Tests of the membership agent with entries that another writer has left among the members. */
public class MembershipAgentTest {
  private static final int LISTINGS = 3;
  private static final MemberRecord SELF = member("scheduler-1", "127.0.0.1:1");
  private static final MemberRecord OTHER = member("scheduler-2", "127.0.0.1:2");
  private static final MemberRecord ODD = member("odd", "127.0.0.1:3");

  private static MemberRecord member(String id, String address) {
    return new MemberRecord(
        new MemberId(id), MemberRole.SCHEDULER, address, new ZoneName("lugu"), false);
  }

  private static String odd(String field, String replacement) {
    String text = Json.write(ODD);
    assertThat(text).contains(field);
    return text.replace(field, replacement);
  }

  private static MembershipAgent agent(WatchableStore store) {
    return new MembershipAgent(ProcessContext.create("scheduler-1"), store, SELF);
  }

  private static boolean awaitListings(MembershipAgent agent) {
    AtomicInteger listings = new AtomicInteger();
    agent.addListener(membership -> listings.incrementAndGet());
    return Await.until(() -> listings.get() >= LISTINGS);
  }

  /** Entries of members. */
  public static class Members {
    private static List<String> unusable() {
      return List.of(
          odd("\"id\":\"odd\",", ""),
          odd("\"id\":\"odd\"", "\"id\":null"),
          odd("\"id\":\"odd\"", "\"id\":\"scheduler-2\""),
          odd("\"role\":\"SCHEDULER\",", ""),
          odd("\"role\":\"SCHEDULER\"", "\"role\":1"),
          odd("\"zone\":\"lugu\"", "\"zone\":null"),
          odd("\"zone\":\"lugu\"", "\"zone\":\"\""),
          odd("\"127.0.0.1:3\"", "null"),
          odd("\"127.0.0.1:3\"", "\"\""),
          odd("\"127.0.0.1:3\"", "\"127.0.0.1\""),
          odd("\"127.0.0.1:3\"", "\"127.0.0.1:0\""),
          odd("\"127.0.0.1:3\"", "\"127.0.0.1:-1\""),
          odd("\"127.0.0.1:3\"", "\"127.0.0.1:65536\""),
          odd("\"127.0.0.1:3\"", "\"127.0.0.1:99999999999\""),
          odd("\"127.0.0.1:3\"", "\"127.0.0.1:1/path\""),
          odd("\"127.0.0.1:3\"", "\"user@127.0.0.1:1\""),
          odd("\"leaving\":false", "\"leaving\":null"));
    }

    @Test
    public void should_list_the_other_members_when_some_entries_are_unreadable() {
      assertListsOthers(DamagedEntries.ALL);
    }

    @Test
    public void should_list_the_other_members_when_some_entries_name_no_usable_member() {
      assertListsOthers(unusable());
    }

    private static void assertListsOthers(List<String> entries) {
      // given
      WatchableStore store = new WatchableStore();
      store.put(Keys.member(OTHER.id()), Json.write(OTHER));
      for (int i = 0; i < entries.size(); i++) {
        String id = "odd-" + i;
        store.put(Keys.member(new MemberId(id)), entries.get(i).replace("\"odd\"", '"' + id + '"'));
      }
      try (CapturedLog log = CapturedLog.start();
          MembershipAgent agent = agent(store)) {
        // when
        boolean listed = awaitListings(agent);
        // then
        assertThat(listed).as("log: %s", log.lines()).isTrue();
        assertThat(agent.membership().view().members()).containsExactly(SELF, OTHER);
        assertThat(log.lines())
            .hasSize(entries.size())
            .allMatch(line -> line.contains("members/odd-"));
      }
    }
  }

  /** Record of the planner. */
  public static class Planner {
    @Test
    public void should_not_elect_a_planner_while_its_record_is_unreadable() {
      // given: the epoch in force is not known, and a lower one would be rejected by all racks
      WatchableStore store = new WatchableStore();
      store.put(Keys.PLANNER, "{\"owner\":\"scheduler-9\",\"epoch\":1e30}");
      try (CapturedLog log = CapturedLog.start();
          MembershipAgent agent = agent(store)) {
        // when
        boolean listed = awaitListings(agent);
        // then
        assertThat(listed).as("log: %s", log.lines()).isTrue();
        assertThat(store.value(Keys.PLANNER))
            .contains("{\"owner\":\"scheduler-9\",\"epoch\":1e30}");
        assertThat(log.lines()).hasSize(1);
      }
    }

    @Test
    public void should_keep_the_last_planner_while_its_record_is_unreadable() {
      // given
      WatchableStore store = new WatchableStore();
      PlannerRecord planner = new PlannerRecord(SELF.id(), 4);
      store.put(Keys.PLANNER, Json.write(planner));
      try (MembershipAgent agent = agent(store)) {
        assertThat(Await.until(() -> agent.membership().planner().isPresent())).isTrue();
        // when
        store.put(Keys.PLANNER, DamagedEntries.DEEPLY_NESTED);
        boolean listed = awaitListings(agent);
        // then
        assertThat(listed).isTrue();
        assertThat(agent.membership().planner()).isEqualTo(Optional.of(planner));
      }
    }

    @Test
    public void should_follow_the_planner_once_its_record_is_repaired() {
      // given
      WatchableStore store = new WatchableStore();
      store.put(Keys.member(OTHER.id()), Json.write(OTHER));
      store.put(Keys.PLANNER, "");
      try (MembershipAgent agent = agent(store)) {
        assertThat(awaitListings(agent)).isTrue();
        // when
        store.put(Keys.PLANNER, Json.write(new PlannerRecord(OTHER.id(), 7)));
        // then
        assertThat(
                Await.until(
                    () -> agent.membership().plannerAddress().equals(Optional.of(OTHER.address()))))
            .isTrue();
      }
    }
  }
}
