package org.plantainloom.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests calls to a peer whose open connections have all fallen silent while new ones work. */
public class SilentConnectionsTest {
  private static final int CONNECTIONS = 6;
  private static final long TIMEOUT_MS = 600;

  /** No call that is tested waits for so long, unless it is kept on a silent connection. */
  private static final long LONG_TIMEOUT_MS = 60_000;

  private static final long AWAIT_TIMEOUT_S = 30;

  private Peer peer;
  private PlatformHttpClient client;

  /** A peer that answers each request with an empty object. */
  private static final class Peer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private volatile CountDownLatch requestsBeforeFirstAnswer = new CountDownLatch(0);
    private volatile CountDownLatch heldRequests = new CountDownLatch(0);

    Peer() throws IOException {
      startDaemon(this::accept);
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    void silenceOpenConnections() {
      silent.addAll(sockets);
    }

    private static void startDaemon(Runnable action) {
      Thread thread = new Thread(action, "peer");
      thread.setDaemon(true);
      thread.start();
    }

    private void accept() {
      while (!server.isClosed()) {
        try {
          Socket socket = server.accept();
          sockets.add(socket);
          startDaemon(() -> serve(socket));
        } catch (IOException e) {
          return; // the peer was closed
        }
      }
    }

    private void serve(Socket socket) {
      try (BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
          boolean held = line.contains("/held");
          while (!line.isEmpty()) {
            line = reader.readLine();
          }
          if (held) {
            heldRequests.countDown();
          } else if (!silent.contains(socket)) {
            requestsBeforeFirstAnswer.countDown();
            requestsBeforeFirstAnswer.await();
            socket
                .getOutputStream()
                .write(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                        .getBytes(StandardCharsets.US_ASCII));
          }
        }
      } catch (IOException | InterruptedException e) {
        // The client has closed the connection.
      }
    }

    @Override
    public void close() {
      try {
        server.close();
        for (Socket socket : sockets) {
          socket.close();
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /** Starts a peer and a client with several idle connections to it. */
  @BeforeMethod
  public void openConnections() throws IOException {
    peer = new Peer();
    client = new PlatformHttpClient();
    peer.requestsBeforeFirstAnswer = new CountDownLatch(CONNECTIONS);
    List<CompletableFuture<PlatformHttpReply>> calls = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      calls.add(client.get(peer.address(), "/", LONG_TIMEOUT_MS));
    }
    calls.forEach(call -> assertThat(call.join().isOk()).isTrue());
  }

  /** Closes the connections. */
  @AfterMethod(alwaysRun = true)
  public void close() {
    client.close();
    peer.close();
  }

  private PlatformHttpReply get() {
    return client.get(peer.address(), "/", TIMEOUT_MS).join();
  }

  @Test
  public void should_not_send_the_next_call_on_another_silent_connection() {
    // given
    peer.silenceOpenConnections();
    assertThat(get().status()).isEqualTo(PlatformHttpReply.NO_RESPONSE);
    // when
    PlatformHttpReply next = get();
    // then
    assertThat(next.isOk()).isTrue();
  }

  @Test
  public void should_keep_the_connections_on_which_the_peer_was_heard() throws Exception {
    // given: one connection is dead, the others have answered since
    peer.heldRequests = new CountDownLatch(1);
    CompletableFuture<PlatformHttpReply> lost = client.get(peer.address(), "/held", TIMEOUT_MS);
    assertThat(peer.heldRequests.await(AWAIT_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    while (!lost.isDone()) {
      peer.requestsBeforeFirstAnswer = new CountDownLatch(CONNECTIONS - 1);
      List<CompletableFuture<PlatformHttpReply>> calls = new ArrayList<>();
      for (int i = 1; i < CONNECTIONS; i++) {
        calls.add(client.get(peer.address(), "/", LONG_TIMEOUT_MS));
      }
      calls.forEach(call -> assertThat(call.join().isOk()).isTrue());
    }
    // then
    assertThat(lost.join().status()).isEqualTo(PlatformHttpReply.NO_RESPONSE);
    assertThat(get().isOk()).isTrue();
    assertThat(peer.sockets).hasSize(CONNECTIONS);
  }

  @Test
  public void should_end_a_poll_at_once_but_leave_a_call_that_may_change_something()
      throws Exception {
    // given
    peer.heldRequests = new CountDownLatch(2);
    CompletableFuture<PlatformHttpReply> poll =
        client.poll(peer.address(), "/held", 0, LONG_TIMEOUT_MS);
    CompletableFuture<PlatformHttpReply> change =
        client.send(HttpMethod.POST, peer.address(), "/held", Map.of(), "", LONG_TIMEOUT_MS);
    assertThat(peer.heldRequests.await(AWAIT_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    peer.silenceOpenConnections();
    // when
    assertThat(get().status()).isEqualTo(PlatformHttpReply.NO_RESPONSE);
    // then
    assertThat(poll.get(AWAIT_TIMEOUT_S, TimeUnit.SECONDS).status())
        .isEqualTo(PlatformHttpReply.NO_RESPONSE);
    assertThat(get().isOk()).isTrue();
    assertThat(change.isDone()).isFalse();
  }
}
