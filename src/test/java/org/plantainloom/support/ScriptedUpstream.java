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

/** A worker on a real port that answers each request as scripted and counts what ran. */
public final class ScriptedUpstream implements AutoCloseable {
  private final ServerSocket socket;
  private final Script script;
  private final AtomicInteger executions = new AtomicInteger();
  private final AtomicInteger requests = new AtomicInteger();

  /** What the worker does with a request. */
  public enum Script {
    /** Runs it and answers. */
    ANSWER(true, "200 OK", "x-request-id: %s\r\ncontent-length: 4", "done"),
    /** Refuses it before running it. */
    REFUSE(
        false,
        "503 Unavailable",
        "x-request-id: %s\r\nx-outcome: not-run\r\ncontent-length: 0",
        ""),
    /** Runs it and closes the connection without an answer. */
    RUN_AND_CLOSE(true, "", "", ""),
    /** Runs it and breaks off in the middle of the answer. */
    TRUNCATE(true, "200 OK", "x-request-id: %s\r\ncontent-length: 400", "begun"),
    /** Runs it and sends the answer to another request. */
    WRONG_REQUEST_ID(true, "200 OK", "x-request-id: other\r\ncontent-length: 4", "done"),
    /** Swallows it and stays silent. */
    NO_RESPONSE(false, null, "", "");

    private final boolean runs;
    private final String status;
    private final String headers;
    private final String body;

    Script(boolean runs, String status, String headers, String body) {
      this.runs = runs;
      this.status = status;
      this.headers = headers;
      this.body = body;
    }
  }

  private ScriptedUpstream(Script script) throws IOException {
    this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    this.script = script;
    Thread acceptor = new Thread(this::accept, "scripted-upstream");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  /** Starts a worker. */
  public static ScriptedUpstream start(Script script) throws IOException {
    return new ScriptedUpstream(script);
  }

  /** Returns host and port. */
  public String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Returns how many requests ran. */
  public int executions() {
    return executions.get();
  }

  /** Returns how many requests arrived. */
  public int requests() {
    return requests.get();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        Thread handler = new Thread(() -> serve(connection), "scripted-connection");
        handler.setDaemon(true);
        handler.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(connection.getInputStream(), US_ASCII));
      String requestId = readRequest(in);
      while (requestId != null) {
        requests.incrementAndGet();
        if (script.runs) {
          executions.incrementAndGet();
        }
        if (script.status != null && script.status.isEmpty()) {
          return;
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
    }
  }

  private void respond(OutputStream out, String requestId) throws IOException {
    String head = "HTTP/1.1 " + script.status + "\r\n" + script.headers + "\r\n\r\n";
    out.write((String.format(Locale.ROOT, head, requestId) + script.body).getBytes(US_ASCII));
    out.flush();
  }

  private static String readRequest(BufferedReader in) throws IOException {
    String requestId = "";
    int length = 0;
    String line = in.readLine();
    if (line == null) {
      return null;
    }
    while (line != null && !line.isEmpty()) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith("x-request-id:")) {
        requestId = line.substring(line.indexOf(':') + 1).trim();
      } else if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
      line = in.readLine();
    }
    for (int i = 0; i < length; i++) {
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
