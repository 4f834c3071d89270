package org.plantainloom.support;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Upstream worker that listens on a loopback port, handles every request as its {@link Script} says
 * and counts received and executed requests.
 */
public final class ScriptedUpstream implements AutoCloseable {
  /** Delay of {@link Script#REFUSE_LATE}; the deadlines of its requests are shorter. */
  private static final long LATE_MS = 2_000;

  private final ServerSocket socket;
  private final Script script;
  private final AtomicInteger executions = new AtomicInteger();
  private final AtomicInteger requests = new AtomicInteger();

  /** How the worker handles a request. */
  public enum Script {
    /** Executes the request and sends a complete response. */
    ANSWER(true, "200 OK", "x-request-id: %s\r\ncontent-length: 4", "done"),
    /** Rejects the request without executing it. */
    REFUSE(
        false,
        "503 Unavailable",
        "x-request-id: %s\r\nx-outcome: not-run\r\ncontent-length: 0",
        ""),
    /** Rejects the request without executing it, later than a short deadline. */
    REFUSE_LATE(
        false,
        "503 Unavailable",
        "x-request-id: %s\r\nx-outcome: not-run\r\ncontent-length: 0",
        ""),
    /** Executes the request and closes the connection without a response. */
    RUN_AND_CLOSE(true, "", "", ""),
    /** Executes the request and closes the connection after a part of the response body. */
    TRUNCATE(true, "200 OK", "x-request-id: %s\r\ncontent-length: 400", "begun"),
    /** Executes the request and sends a response that carries another request's id. */
    WRONG_REQUEST_ID(true, "200 OK", "x-request-id: other\r\ncontent-length: 4", "done"),
    /** Reads the request, does not execute it and never responds. */
    NO_RESPONSE(false, null, "", "");

    private final boolean executes;

    /** Status line after the version; empty closes the connection, null sends no response. */
    private final String status;

    private final String headers;
    private final String body;

    Script(boolean executes, String status, String headers, String body) {
      this.executes = executes;
      this.status = status;
      this.headers = headers;
      this.body = body;
    }
  }

  private ScriptedUpstream(Script script) throws IOException {
    this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    this.script = script;
    Thread acceptor = new Thread(this::acceptConnections, "scripted-upstream");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  /** Starts a worker that handles all requests by the given script. */
  public static ScriptedUpstream start(Script script) throws IOException {
    return new ScriptedUpstream(script);
  }

  /** Returns the worker's address as {@code host:port}. */
  public String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Returns the number of executed requests. */
  public int executions() {
    return executions.get();
  }

  /** Returns the number of received requests. */
  public int requests() {
    return requests.get();
  }

  private void acceptConnections() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        Thread handler = new Thread(() -> handleConnection(connection), "scripted-connection");
        handler.setDaemon(true);
        handler.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void handleConnection(Socket connection) {
    try (connection) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(connection.getInputStream(), US_ASCII));
      String requestId = readRequest(in);
      while (requestId != null) {
        requests.incrementAndGet();
        if (script.executes) {
          executions.incrementAndGet();
        }
        if (script.status != null && script.status.isEmpty()) {
          return;
        }
        if (script == Script.REFUSE_LATE) {
          Thread.sleep(LATE_MS);
        }
        if (script.status != null) {
          respond(connection.getOutputStream(), requestId);
        }
        if (script == Script.TRUNCATE) {
          return;
        }
        requestId = readRequest(in);
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void respond(OutputStream out, String requestId) throws IOException {
    String head = "HTTP/1.1 " + script.status + "\r\n" + script.headers + "\r\n\r\n";
    out.write((String.format(Locale.ROOT, head, requestId) + script.body).getBytes(US_ASCII));
    out.flush();
  }

  /** Reads a request with its body; returns its request id, or null at the end of the stream. */
  private static String readRequest(BufferedReader in) throws IOException {
    String requestId = "";
    int contentLength = 0;
    String line = in.readLine();
    if (line == null) {
      return null;
    }
    while (line != null && !line.isEmpty()) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith("x-request-id:")) {
        requestId = line.substring(line.indexOf(':') + 1).trim();
      } else if (lower.startsWith("content-length:")) {
        contentLength = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
      line = in.readLine();
    }
    for (int i = 0; i < contentLength; i++) {
      if (in.read() < 0) {
        return null;
      }
    }
    return requestId;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
