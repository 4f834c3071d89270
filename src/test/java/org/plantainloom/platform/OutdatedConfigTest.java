package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.plantainloom.platform.NodeFixture.RunningNode;
import org.plantainloom.platform.standin.SimulatedQueue;
import org.plantainloom.platform.standin.StoreView;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a node answers whose watch of the configuration hears nothing. */
public class OutdatedConfigTest {
  private static final SimulatedQueue ADDED = SimulatedQueue.of("added", "service");
  private static final SimulatedQueue NEVER_ADDED = SimulatedQueue.of("never-added", "service");
  private static final String JOB_ID = "00000000000000aa";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private NodeFixture fixture;
  private StoreView store;
  private RunningNode node;

  /** Starts a node that is the owner and has a job. */
  @BeforeMethod
  public void start() throws InterruptedException {
    fixture = new NodeFixture();
    store = fixture.platform().openStoreView();
    node = fixture.startNode("a", store.address());
    node.submit(JOB_ID, NodeFixture.LASTING_JOB);
    node.awaitState(JOB_ID, "active");
  }

  /** Stops the node. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    fixture.close();
  }

  @Test
  public void should_serve_a_new_queue_and_deny_a_dropped_one_while_watches_hear_nothing()
      throws InterruptedException {
    // given
    store.setWatchesSilent(true);
    // when
    fixture.platform().configure(2, List.of(SimulatedQueue.FIRST, ADDED));
    // then
    NodeFixture.await(() -> node.countStatusCode(ADDED) == OK);
    // when
    fixture.platform().configure(3, List.of(SimulatedQueue.FIRST));
    // then
    NodeFixture.await(() -> node.countStatusCode(ADDED) == NOT_FOUND);
  }

  @Test
  public void should_not_deny_a_queue_for_good_while_the_store_tells_nothing()
      throws InterruptedException {
    // given
    assertThat(node.countStatusCode(NEVER_ADDED)).isEqualTo(NOT_FOUND);
    // when
    store.setRejecting(true);
    // then
    NodeFixture.await(() -> node.countStatusCode(NEVER_ADDED) == UNAVAILABLE);
    assertThat(node.countStatusCode(SimulatedQueue.FIRST)).isEqualTo(UNAVAILABLE);
    assertThat(node.statusCode(JOB_ID)).as("a job that the owner knows").isEqualTo(OK);
    // when
    store.setRejecting(false);
    // then
    NodeFixture.await(() -> node.countStatusCode(NEVER_ADDED) == NOT_FOUND);
  }
}
