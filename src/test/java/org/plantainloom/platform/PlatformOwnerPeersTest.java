package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.metric.NoopMeterRegistry;
import com.linecorp.armeria.server.Server;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.plantainloom.coordination.dispatch.DispatchPolicy;
import org.plantainloom.platform.standin.SimulatedPlatform;
import org.plantainloom.support.Servers;
import org.plantainloom.transport.dispatch.Node;
import org.plantainloom.transport.dispatch.NodeContext;
import org.plantainloom.transport.dispatch.OwnerPeers;
import org.plantainloom.transport.dispatch.OwnerRecord;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the request of a new owner to an owner before it, over HTTP. */
public class PlatformOwnerPeersTest {
  private static final long AWAIT_TIMEOUT_MS = 30_000;
  private static final long POLL_MS = 20;

  /** How long the process has run before its node was created. */
  private static final long PROCESS_AGE_MS = 3_600_000;

  private static final String UNSETTLED_OWNERS_KEY = "pl/unsettled-owners";

  private SimulatedPlatform platform;
  private PlatformHttpClient client;
  private Node node;
  private Server server;

  /** Starts a node that becomes the owner of the workers. */
  @BeforeMethod
  public void startOwner() throws Exception {
    platform = SimulatedPlatform.start(1, 50);
    platform.configure(1);
    client = new PlatformHttpClient();
    node = startNode("a", new PlatformOwnerPeers(client));
    server =
        Server.builder()
            .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .meterRegistry(NoopMeterRegistry.get())
            .gracefulShutdownTimeoutMillis(0, 0)
            .serviceUnder(
                "/",
                (ctx, request) ->
                    PlatformOwnerPeers.answer(node, ctx.method(), ctx.path())
                        .orElseGet(() -> HttpResponse.of(HttpStatus.NOT_FOUND)))
            .build();
    server.start().join();
    await(this::isOwner);
  }

  /** Stops the node before its client, and the platform last. */
  @AfterMethod(alwaysRun = true)
  public void close() {
    Servers.stopInBackground(server);
    node.close();
    client.close();
    platform.close();
  }

  private Node startNode(String name, OwnerPeers peers) {
    return Node.start(
        new NodeContext(
            name,
            "127.0.0.1:1",
            1,
            new PlatformStore(client, platform.storeAddress()),
            new PlatformWorkers(client),
            peers,
            new PlatformCodec(),
            DispatchPolicy.of(6_000, 400),
            new MetricRegistry(),
            NodeContext.nowMs() - PROCESS_AGE_MS));
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineMs = System.nanoTime() / 1_000_000 + AWAIT_TIMEOUT_MS;
    while (!condition.getAsBoolean() && System.nanoTime() / 1_000_000 < deadlineMs) {
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private boolean isOwner() {
    return node.pendingJobs("any").join().isPresent();
  }

  private OwnerRecord owner(String name) {
    return new OwnerRecord(name, "127.0.0.1:" + server.activeLocalPort(), 1);
  }

  @Test
  public void should_make_the_node_give_up_an_older_ownership() {
    // when
    var idleMs = new PlatformOwnerPeers(client).stopOwnership(owner("a"), 2).join();
    // then: counted from the end of the ownership, not from the start of the process
    assertThat(idleMs).hasValueSatisfying(idle -> assertThat(idle).isBetween(0L, PROCESS_AGE_MS));
    assertThat(isOwner()).isFalse();
  }

  @Test
  public void should_own_the_workers_again_after_a_request_with_an_absurd_term() throws Exception {
    // when
    new PlatformOwnerPeers(client).stopOwnership(owner("a"), Long.MAX_VALUE).join();
    assertThat(isOwner()).isFalse();
    // then: once its key has expired
    await(this::isOwner);
  }

  @Test
  public void should_leave_the_ownership_with_a_node_that_got_it_later() {
    // when
    var idleMs = new PlatformOwnerPeers(client).stopOwnership(owner("a"), 1).join();
    // then
    assertThat(idleMs)
        .hasValueSatisfying(idle -> assertThat(idle).isGreaterThanOrEqualTo(PROCESS_AGE_MS));
    assertThat(isOwner()).isTrue();
  }

  @Test
  public void should_not_take_the_answer_of_another_node_at_the_address_for_that_of_the_owner() {
    // when
    var idleMs = new PlatformOwnerPeers(client).stopOwnership(owner("b"), 2).join();
    // then
    assertThat(idleMs).isEmpty();
    assertThat(isOwner()).isTrue();
  }

  @Test
  public void should_ask_the_previous_owner_and_list_it_until_its_leases_are_over()
      throws Exception {
    // given
    BlockingQueue<OwnerRecord> asked = new LinkedBlockingQueue<>();
    OwnerPeers recordingPeers =
        (owner, term) -> {
          asked.add(owner);
          return CompletableFuture.completedFuture(Optional.of(0L));
        };
    // when
    node.resign().join();
    Node successor = startNode("b", recordingPeers);
    try {
      // then
      assertThat(asked.poll(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS).node()).isEqualTo("a");
      await(() -> !platform.storedValue(UNSETTLED_OWNERS_KEY).contains("\"node\":\"a\""));
      assertThat(platform.storedValue(UNSETTLED_OWNERS_KEY)).contains("\"node\":\"b\"");
    } finally {
      successor.close();
    }
  }

  @Test
  public void should_store_the_owner_for_the_inquiry_of_the_next_one() {
    // then
    assertThat(platform.storedValue(UNSETTLED_OWNERS_KEY))
        .contains("\"complete\":true", "\"node\":\"a\"", "\"address\":\"127.0.0.1:1\"");
  }
}
