package org.plantainloom.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** TCP proxy on loopback that injects network faults on demand. */
final class FaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /** How the proxy treats the bytes of its connections. */
  enum Mode {
    FORWARD,
    /** Forwards all bytes with a delay. */
    DELAY,
    /** Drops all bytes and leaves the connections open. */
    DROP_ALL,
    /** Forwards responses and drops requests. */
    DROP_REQUESTS,
    /** Forwards requests and drops responses. */
    DROP_RESPONSES,
    /** Holds all bytes back until the fault ends, as the retransmission of TCP does. */
    HOLD_ALL,
    /** Forwards responses and holds requests back. */
    HOLD_REQUESTS,
    /** Forwards requests and holds responses back. */
    HOLD_RESPONSES;

    boolean drops(boolean isResponse) {
      return this == DROP_ALL || this == (isResponse ? DROP_RESPONSES : DROP_REQUESTS);
    }

    boolean holds(boolean isResponse) {
      return this == HOLD_ALL || this == (isResponse ? HOLD_RESPONSES : HOLD_REQUESTS);
    }
  }

  private final ServerSocket server;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private volatile int targetPort;

  /** Modes of the faults that are active now; each of them applies. */
  private List<Mode> modes = List.of();

  private volatile long delayMs;
  private volatile boolean targetSilent;

  private FaultProxy(ServerSocket server) {
    this.server = server;
  }

  /** A forwarded connection; once it is blackholed, it forwards nothing until it is closed. */
  private static final class Connection {
    final Socket clientSocket;
    final Socket targetSocket;
    volatile boolean blackholed;

    Connection(Socket clientSocket, Socket targetSocket) {
      this.clientSocket = clientSocket;
      this.targetSocket = targetSocket;
    }

    void reset() {
      for (Socket socket : new Socket[] {clientSocket, targetSocket}) {
        try {
          socket.setSoLinger(true, 0);
          socket.close();
        } catch (IOException e) {
          // The socket is already closed.
        }
      }
    }
  }

  /** Starts a proxy on a free port. */
  static FaultProxy start(int targetPort) throws IOException {
    FaultProxy proxy = new FaultProxy(new ServerSocket(0, 64, InetAddress.getLoopbackAddress()));
    proxy.targetPort = targetPort;
    proxy.startDaemon(proxy::accept);
    return proxy;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  synchronized void setMode(Mode newMode, long newDelayMs) {
    delayMs = newDelayMs;
    modes = List.of(newMode);
    notifyAll();
  }

  /** Adds a fault to those that are active. */
  synchronized void addFault(Mode mode) {
    modes = Stream.concat(modes.stream(), Stream.of(mode)).toList();
    notifyAll();
  }

  /** Ends one fault of those that are active. */
  synchronized void removeFault(Mode mode) {
    List<Mode> remaining = new ArrayList<>(modes);
    remaining.remove(mode);
    modes = List.copyOf(remaining);
    notifyAll();
  }

  private synchronized boolean has(Predicate<Mode> property) {
    return modes.stream().anyMatch(property);
  }

  private synchronized void awaitRelease(boolean isResponse) throws InterruptedException {
    while (!server.isClosed() && has(mode -> mode.holds(isResponse))) {
      wait();
    }
  }

  /** Resets all open connections. */
  void resetConnections() {
    connections.forEach(Connection::reset);
    connections.clear();
  }

  /** Drops all bytes of the connections that are open now; new connections work. */
  void blackholeConnections() {
    connections.forEach(connection -> connection.blackholed = true);
  }

  /**
   * Leaves connections open without a byte, a reset or an end, as a target without power does, or
   * resets those that were left open, as a target that is there again does.
   */
  void setTargetSilent(boolean silent) {
    targetSilent = silent;
    if (!silent) {
      resetConnections();
    }
  }

  private void startDaemon(Runnable action) {
    Thread thread = new Thread(action, "fault-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket clientSocket = server.accept();
        startDaemon(() -> connect(clientSocket));
      } catch (IOException e) {
        return; // the proxy was closed
      }
    }
  }

  private void connect(Socket clientSocket) {
    Socket targetSocket = new Socket();
    Connection connection = new Connection(clientSocket, targetSocket);
    if (targetSilent) {
      connections.add(connection);
      return;
    }
    try {
      targetSocket.connect(
          new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort),
          CONNECT_TIMEOUT_MS);
      clientSocket.setTcpNoDelay(true);
      targetSocket.setTcpNoDelay(true);
    } catch (IOException e) {
      connection.reset(); // as a port without a listener does
      return;
    }
    connections.add(connection);
    startDaemon(() -> forward(connection, clientSocket, targetSocket, false));
    forward(connection, targetSocket, clientSocket, true);
    if (!targetSilent) {
      connections.remove(connection);
    }
  }

  private void forward(Connection connection, Socket from, Socket to, boolean isResponse) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (connection.blackholed || targetSilent || has(mode -> mode.drops(isResponse))) {
          connection.blackholed = true; // a stream with missing bytes cannot continue
          continue;
        }
        awaitRelease(isResponse);
        if (has(mode -> mode == Mode.DELAY)) {
          Thread.sleep(delayMs);
        }
        out.write(buffer, 0, n);
        out.flush();
      }
      if (!targetSilent) {
        to.shutdownOutput();
      }
    } catch (IOException | InterruptedException e) {
      if (!targetSilent) {
        connection.reset();
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    setMode(Mode.FORWARD, 0);
    resetConnections();
  }
}
