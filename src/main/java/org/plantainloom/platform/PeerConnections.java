package org.plantainloom.platform;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/**
 * The open connections to each peer, and when the peer was last heard on them.
 *
 * <p>Open connections may fall silent for good, all at once, without a reset and while new ones
 * work. A call that gets no response closes its own connection only; the next call would take
 * another one from the pool, which may be as silent, and wait for its whole timeout again. So one
 * call without a response closes all connections to its peer on which the peer was not heard since
 * that response was due:
 *
 * <ul>
 *   <li>an idle one, so that no further call is sent on it,
 *   <li>one on which a poll waits, so that it is repeated at once,
 *   <li>but none on which another call waits: its response, if it is only late, tells its caller
 *       more than a repetition.
 * </ul>
 *
 * <p>Thread-safe.
 */
final class PeerConnections {
  private static final Logger LOG = Logger.getLogger(PeerConnections.class);

  /** A slow peer takes no longer than this for a response. */
  private static final long SLOW_RESPONSE_MS = 300;

  private final LongSupplier clockNanos;
  private final Map<String, Map<Channel, Connection>> connectionsByPeer = new HashMap<>();

  PeerConnections(LongSupplier clockNanos) {
    this.clockNanos = clockNanos;
  }

  /** An open connection. */
  private static final class Connection {
    private long lastHeardNanos;

    /** The call that waits for a response. */
    private Optional<Call> call = Optional.empty();

    Connection(long openedNanos) {
      lastHeardNanos = openedNanos;
    }

    boolean mayBeClosed(long silentSinceNanos) {
      return lastHeardNanos - silentSinceNanos < 0 && call.map(Call::isPoll).orElse(true);
    }
  }

  /** A call to a peer, from when it is given to the client until it ends. */
  final class Call {
    private final String peer;
    private final boolean poll;
    private final long dueNanos;
    private Optional<Channel> channel = Optional.empty();
    private boolean ended;

    private Call(String peer, boolean poll, long waitMs) {
      this.peer = peer;
      this.poll = poll;
      this.dueNanos =
          clockNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(waitMs + SLOW_RESPONSE_MS);
    }

    boolean isPoll() {
      return poll;
    }

    /** Observes which connection the call is sent on. */
    @SuppressWarnings("FutureReturnValueIgnored") // a call without a connection never completes it
    void observe(ClientRequestContext context) {
      context
          .log()
          .whenAvailable(RequestLogProperty.SESSION)
          .thenAccept(log -> Optional.ofNullable(log.channel()).ifPresent(this::sentOn));
    }

    private void sentOn(Channel usedChannel) {
      synchronized (PeerConnections.this) {
        if (!ended) {
          channel = Optional.of(usedChannel);
          connection(peer, usedChannel).call = Optional.of(this);
        }
      }
    }

    /** Handles the response. */
    void answered() {
      synchronized (PeerConnections.this) {
        end();
        channel
            .flatMap(used -> openConnection(peer, used))
            .ifPresent(connection -> connection.lastHeardNanos = clockNanos.getAsLong());
      }
    }

    /** Handles that there is no response for another reason than the timeout. */
    void failed() {
      synchronized (PeerConnections.this) {
        end();
      }
    }

    /** Handles that there was no response within the timeout. */
    void timedOut() {
      synchronized (PeerConnections.this) {
        end();
        // Without a connection, the call has waited for the connection only.
        if (channel.isPresent()) {
          closeSilent(peer, dueNanos);
        }
      }
    }

    private void end() {
      ended = true;
      channel
          .flatMap(used -> openConnection(peer, used))
          .ifPresent(connection -> connection.call = Optional.empty());
    }
  }

  /** Returns a call that the peer answers without delay. */
  Call call(String peer) {
    return new Call(peer, false, 0);
  }

  /**
   * Returns a call that the peer may hold.
   *
   * @param waitMs for how long, in milliseconds
   */
  Call heldCall(String peer, long waitMs) {
    return new Call(peer, false, waitMs);
  }

  /**
   * Returns a call that the peer may hold and that changes nothing, so that it may be repeated at
   * any time.
   *
   * @param waitMs how long the peer may hold it, in milliseconds
   */
  Call poll(String peer, long waitMs) {
    return new Call(peer, true, waitMs);
  }

  private Optional<Connection> openConnection(String peer, Channel channel) {
    return Optional.ofNullable(connectionsByPeer.getOrDefault(peer, Map.of()).get(channel));
  }

  private Connection connection(String peer, Channel channel) {
    Optional<Connection> known = openConnection(peer, channel);
    if (known.isPresent()) {
      return known.get();
    }
    Connection opened = new Connection(clockNanos.getAsLong());
    connectionsByPeer.computeIfAbsent(peer, unused -> new HashMap<>()).put(channel, opened);
    channel.closeFuture().addListener(closed -> remove(peer, channel));
    return opened;
  }

  private synchronized void remove(String peer, Channel channel) {
    Map<Channel, Connection> connections = connectionsByPeer.getOrDefault(peer, new HashMap<>());
    connections.remove(channel);
    if (connections.isEmpty()) {
      connectionsByPeer.remove(peer);
    }
  }

  private void closeSilent(String peer, long sinceNanos) {
    List<Channel> silent =
        connectionsByPeer.getOrDefault(peer, Map.of()).entrySet().stream()
            .filter(entry -> entry.getValue().mayBeClosed(sinceNanos))
            .map(Map.Entry::getKey)
            .toList();
    if (!silent.isEmpty()) {
      LOG.infof("event=connections-distrusted peer=%s closed=%d", peer, silent.size());
    }
    for (Channel channel : silent) {
      // The pool hands out a connection on its event loop; nothing comes in between there.
      channel.eventLoop().execute(() -> closeIfSilent(peer, channel, sinceNanos));
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored") // the connection is removed when it is closed
  private void closeIfSilent(String peer, Channel channel, long sinceNanos) {
    boolean silent;
    synchronized (this) {
      silent =
          openConnection(peer, channel)
              .filter(connection -> connection.mayBeClosed(sinceNanos))
              .isPresent();
    }
    if (silent) {
      channel.close();
    }
  }
}
