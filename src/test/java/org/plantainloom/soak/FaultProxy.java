package org.plantainloom.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards connections on loopback, and harms them on demand. */
final class FaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /** What happens to bytes on their way. */
  enum Mode {
    PASS,
    /** Bytes arrive later. */
    DELAY,
    /** Nothing passes, and no end is told. */
    CUT,
    /** Requests arrive, answers do not. */
    ANSWERS_LOST
  }

  private final ServerSocket server;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private volatile int targetPort;
  private volatile Mode mode = Mode.PASS;
  private volatile long delayMs;

  private FaultProxy(ServerSocket server) {
    this.server = server;
  }

  /** One forwarded connection; one that was silenced passes nothing for the rest of its life. */
  private static final class Link {
    final Socket near;
    final Socket far;
    volatile boolean silent;

    Link(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }

    void reset() {
      for (Socket socket : new Socket[] {near, far}) {
        try {
          socket.setSoLinger(true, 0);
          socket.close();
        } catch (IOException e) {
          // It is closed already, which is what was wanted.
        }
      }
    }
  }

  /** Starts a proxy on a free port. */
  static FaultProxy start(int targetPort) throws IOException {
    FaultProxy proxy = new FaultProxy(new ServerSocket(0, 64, InetAddress.getLoopbackAddress()));
    proxy.targetPort = targetPort;
    proxy.daemon(proxy::accept);
    return proxy;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  void mode(Mode newMode, long newDelayMs) {
    delayMs = newDelayMs;
    mode = newMode;
  }

  /** Resets all open connections. */
  void resetAll() {
    links.forEach(Link::reset);
    links.clear();
  }

  /** Silences all open connections for good; new ones work. */
  void silenceAll() {
    links.forEach(link -> link.silent = true);
  }

  private void daemon(Runnable body) {
    Thread thread = new Thread(body, "fault-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        daemon(() -> connect(near));
      } catch (IOException e) {
        return; // The proxy was closed.
      }
    }
  }

  private void connect(Socket near) {
    Socket far = new Socket();
    Link link = new Link(near, far);
    try {
      far.connect(
          new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort),
          CONNECT_TIMEOUT_MS);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
    } catch (IOException e) {
      link.reset(); // As a port without a listener would.
      return;
    }
    links.add(link);
    daemon(() -> forward(link, near, far, false));
    forward(link, far, near, true);
    links.remove(link);
  }

  private void forward(Link link, Socket from, Socket to, boolean answers) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        Mode now = mode;
        if (link.silent || now == Mode.CUT || (answers && now == Mode.ANSWERS_LOST)) {
          link.silent = true; // A stream with a hole cannot go on.
          continue;
        }
        if (now == Mode.DELAY) {
          Thread.sleep(delayMs);
        }
        out.write(buffer, 0, n);
        out.flush();
      }
      to.shutdownOutput();
    } catch (IOException | InterruptedException e) {
      link.reset();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    resetAll();
  }
}
