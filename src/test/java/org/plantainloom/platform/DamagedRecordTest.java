package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.plantainloom.platform.NodeFixture.LASTING_JOB;
import static org.plantainloom.platform.NodeFixture.SHORT_JOB;

import org.plantainloom.platform.NodeFixture.RunningNode;
import org.plantainloom.support.MessageMutator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests nodes whose own records in the store were damaged by another writer. */
public class DamagedRecordTest {
  private static final String FIRST = "00000000000000aa";
  private static final String SECOND = "00000000000000bb";
  private static final String DAMAGED = "00000000000000cc";

  /** Nested deeper than any parser of the node follows. */
  private static final String DEEP = "[".repeat(200_000);

  /** The count of owners. */
  public static class Term {
    @DataProvider
    public static Object[][] damagedTerms() {
      return new Object[][] {{"{}"}, {"9223372036854775807"}};
    }

    @Test(dataProvider = "damagedTerms")
    public void should_elect_an_owner_when_the_term_is_unreadable(String damaged) throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        fixture.platform().overwrite("pl/term", damaged);
        // when
        RunningNode node = fixture.startNode("a");
        node.submit(FIRST, SHORT_JOB);
        // then
        node.awaitState(FIRST, "completed");
      }
    }

    @Test
    public void should_raise_the_fencing_token_when_the_term_was_overwritten() throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        RunningNode first = fixture.startNode("a");
        first.submit(FIRST, LASTING_JOB);
        NodeFixture.await(() -> fixture.platform().statistics().runningTasks() == 3);
        long before = Long.parseLong(fixture.platform().storedValue("pl/term"));
        // when
        fixture.platform().overwrite("pl/term", "-1");
        first.close();
        RunningNode second = fixture.startNode("b");
        second.submit(SECOND, SHORT_JOB);
        // then
        second.awaitState(SECOND, "completed");
        assertThat(Long.parseLong(fixture.platform().storedValue("pl/term"))).isGreaterThan(before);
        assertThat(fixture.platform().statistics().overlaps()).isZero();
      }
    }

    @Test
    public void should_raise_the_fencing_token_when_an_old_term_replaces_a_known_one()
        throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        fixture.platform().overwrite("pl/term", "3");
        RunningNode first = fixture.startNode("a");
        NodeFixture.await(() -> fixture.platform().storedValue("pl/term").equals("4"));
        RunningNode second = fixture.startNode("b");
        NodeFixture.await(second::knowsOwner);
        // when
        fixture.platform().overwrite("pl/term", "1");
        first.resign();
        NodeFixture.await(() -> !fixture.platform().storedValue("pl/term").equals("1"));
        // then
        assertThat(Long.parseLong(fixture.platform().storedValue("pl/term"))).isGreaterThan(4);
      }
    }
  }

  /** The key of the owner. */
  public static class Owner {
    @Test
    public void should_elect_an_owner_when_the_record_of_the_owner_is_unreadable()
        throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        fixture.platform().overwrite("pl/owner", DEEP);
        // when
        RunningNode node = fixture.startNode("a");
        node.submit(FIRST, SHORT_JOB);
        // then
        node.awaitState(FIRST, "completed");
      }
    }

    @Test
    public void should_go_on_when_the_record_of_a_sitting_owner_becomes_unreadable()
        throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        RunningNode node = fixture.startNode("a");
        node.submit(FIRST, LASTING_JOB);
        NodeFixture.await(() -> fixture.platform().statistics().runningTasks() == 3);
        // when
        fixture.platform().overwrite("pl/owner", "");
        node.submit(SECOND, SHORT_JOB);
        // then
        node.awaitState(SECOND, "completed");
        assertThat(fixture.platform().statistics().overlaps()).isZero();
        assertThat(fixture.platform().statistics().runningTasks()).isEqualTo(3);
      }
    }

    @Test
    public void should_go_on_when_an_old_record_replaces_that_of_the_sitting_owner()
        throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        RunningNode node = fixture.startNode("a");
        node.submit(FIRST, LASTING_JOB);
        NodeFixture.await(() -> fixture.platform().statistics().runningTasks() == 3);
        // when: the same bytes, but no lease that would ever remove them
        fixture.platform().overwrite("pl/owner", fixture.platform().storedValue("pl/owner"));
        node.submit(SECOND, SHORT_JOB);
        // then
        node.awaitState(SECOND, "completed");
        assertThat(fixture.platform().statistics().overlaps()).isZero();
      }
    }
  }

  /** The workers of the previous owner. */
  public static class Fleet {
    @Test
    public void should_take_over_when_the_fleet_is_unreadable() throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        RunningNode first = fixture.startNode("a");
        first.submit(FIRST, LASTING_JOB);
        NodeFixture.await(() -> fixture.platform().statistics().runningTasks() == 3);
        // when
        first.close();
        fixture.platform().overwrite("pl/fleet", "{\"workers\":null}");
        RunningNode second = fixture.startNode("b");
        second.submit(SECOND, SHORT_JOB);
        // then
        second.awaitState(SECOND, "completed");
        assertThat(fixture.platform().statistics().overlaps()).isZero();
        assertThat(fixture.platform().statistics().runningTasks()).isEqualTo(3);
      }
    }
  }

  /** The progress of jobs. */
  public static class Progress {
    @DataProvider
    public static Object[][] damagedProgress() {
      return new Object[][] {
        {"{\"status\":\"ACTIVE\",\"done\":null,\"failures\":{},\"checkpoints\":{}}"},
        {"{\"status\":\"ACTIVE\",\"done\":{\"0.0\":\"xy\"},\"failures\":{},\"checkpoints\":{}}"}
      };
    }

    @Test(dataProvider = "damagedProgress")
    public void should_run_the_other_jobs_when_the_progress_of_one_is_unreadable(String damaged)
        throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        RunningNode first = fixture.startNode("a");
        first.submit(DAMAGED, SHORT_JOB);
        first.awaitState(DAMAGED, "completed");
        first.close();
        // when
        fixture.platform().overwrite("pl/progress/" + DAMAGED, damaged);
        RunningNode second = fixture.startNode("b");
        second.submit(SECOND, SHORT_JOB);
        // then: the others complete; nothing of the job runs again, and no status is made up
        second.awaitState(SECOND, "completed");
        assertThat(fixture.platform().statistics().startsAfterCompletion()).isZero();
        assertThat(second.statusCode(DAMAGED)).isEqualTo(503);
      }
    }

    @Test
    public void should_keep_serving_when_the_progress_of_a_lasting_job_is_unreadable()
        throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given: a job whose tasks never finish, so that none can run again after its end
        RunningNode first = fixture.startNode("a");
        first.submit(DAMAGED, LASTING_JOB);
        NodeFixture.await(() -> fixture.platform().statistics().runningTasks() == 3);
        first.close();
        // when
        fixture.platform().overwrite("pl/progress/" + DAMAGED, "{}");
        RunningNode second = fixture.startNode("b");
        second.submit(SECOND, SHORT_JOB);
        // then
        second.awaitState(SECOND, "completed");
        second.awaitState(DAMAGED, "active");
        assertThat(fixture.platform().statistics().runningTasks()).isEqualTo(3);
        assertThat(fixture.platform().statistics().overlaps()).isZero();
      }
    }
  }

  /** Accepted jobs. */
  public static class Jobs {
    private static final int SUBMISSIONS = 200;

    private static final String WITHOUT_NEED =
        "{\"id\":\"00000000000000cc\",\"queue\":\"queue\",\"payload\":\"\","
            + "\"phases\":[{\"count\":1,\"after\":[],\"requiredLabel\":\"\","
            + "\"preferredRack\":\"\",\"image\":\"\"}]}";

    @Test
    public void should_run_the_other_jobs_when_a_new_one_is_unreadable() throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        RunningNode node = fixture.startNode("a");
        node.submit(FIRST, SHORT_JOB);
        node.awaitState(FIRST, "completed");
        // when
        fixture.platform().overwrite("pl/job/" + DAMAGED, WITHOUT_NEED);
        node.submit(SECOND, SHORT_JOB);
        // then
        node.awaitState(SECOND, "completed");
        assertThat(node.statusCode(DAMAGED)).isEqualTo(503);
      }
    }

    @Test
    public void should_take_over_when_a_job_lacks_its_phases() throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        fixture
            .platform()
            .overwrite("pl/job/" + DAMAGED, "{\"id\":\"" + DAMAGED + "\",\"queue\":\"queue\"}");
        // when
        RunningNode node = fixture.startNode("a");
        node.submit(SECOND, SHORT_JOB);
        // then
        node.awaitState(SECOND, "completed");
        assertThat(node.statusCode(DAMAGED)).isEqualTo(503);
      }
    }

    @Test
    public void should_not_accept_a_job_whose_key_holds_something_unreadable() throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        RunningNode node = fixture.startNode("a");
        node.submit(FIRST, SHORT_JOB);
        // when
        fixture.platform().overwrite("pl/job/" + DAMAGED, "{}");
        // then: it may have been accepted before the damage, so it is not refused either
        assertThat(node.submitOnce(DAMAGED, SHORT_JOB)).isEqualTo(504);
      }
    }

    @Test
    public void should_be_able_to_read_each_job_that_was_accepted() throws Exception {
      try (NodeFixture fixture = new NodeFixture()) {
        // given
        RunningNode node = fixture.startNode("a");
        node.submit(FIRST, SHORT_JOB);
        MessageMutator mutator = new MessageMutator(8);
        int accepted = 0;
        for (int i = 0; i < SUBMISSIONS; i++) {
          // when
          String id = String.format("%016x", i);
          String job = mutator.mutate(SHORT_JOB);
          // then
          if (node.submitOnce(id, job) == 200) {
            accepted++;
            NodeFixture.await(() -> node.statusCode(id) == 200);
          }
        }
        assertThat(accepted).isPositive();
      }
    }
  }
}
