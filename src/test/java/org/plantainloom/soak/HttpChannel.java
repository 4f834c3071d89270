package org.plantainloom.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.plantainloom.platform.standin.SimulatedPlatform;

/**
 * A persistent HTTP/1.1 connection of a caller on a plain socket, which tells a connection that
 * ended from a response and from silence.
 */
final class HttpChannel implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 500;

  private final int node;
  private final Socket socket = new Socket();
  private final InputStream input;
  private boolean open = true;

  /** A complete response. */
  private record Response(int status, boolean closes, String body) {}

  private HttpChannel(int node, int port) throws IOException {
    this.node = node;
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
    this.input = new BufferedInputStream(socket.getInputStream());
  }

  /** Connects to the address of a node for callers. */
  static HttpChannel connect(int node, String address) throws IOException {
    return new HttpChannel(node, Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
  }

  int node() {
    return node;
  }

  /** Returns whether a further request may be sent. */
  boolean isOpen() {
    return open;
  }

  /** Sends a request to the first queue, see {@link #send(String, String, String, String)}. */
  Exchange send(String method, String jobId, String body) {
    return send(SimulatedPlatform.JOB_PATH_PREFIX, method, jobId, body);
  }

  /**
   * Sends a request to the queue with a prefix, and waits for its response, the end of the
   * connection or the deadline.
   */
  Exchange send(String pathPrefix, String method, String jobId, String body) {
    long sentMs = SoakRun.nowMs();
    try {
      socket.getOutputStream().write(request(pathPrefix, method, jobId, body));
    } catch (IOException e) {
      close();
      return ended(method, jobId, sentMs, Exchange.End.NOT_SENT);
    }
    sentMs = SoakRun.nowMs();
    try {
      Response response = read(sentMs + Exchange.DEADLINE_MS);
      if (response.closes()) {
        close();
      }
      return new Exchange(
          node,
          method,
          jobId,
          sentMs,
          SoakRun.nowMs(),
          Exchange.End.ANSWERED,
          response.status(),
          state(response.body()));
    } catch (SocketTimeoutException e) {
      close();
      return ended(method, jobId, sentMs, Exchange.End.TIMED_OUT);
    } catch (IOException e) {
      close();
      return ended(method, jobId, sentMs, Exchange.End.CUT);
    }
  }

  private Exchange ended(String method, String jobId, long sentMs, Exchange.End end) {
    return new Exchange(node, method, jobId, sentMs, SoakRun.nowMs(), end, 0, "");
  }

  private static byte[] request(String pathPrefix, String method, String jobId, String body) {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    String head =
        method
            + " "
            + pathPrefix
            + jobId
            + " HTTP/1.1\r\nHost: "
            + SimulatedPlatform.QUEUE_HOST
            + "\r\nContent-Type: application/json\r\nContent-Length: "
            + content.length
            + "\r\n\r\n";
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    request.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    request.writeBytes(content);
    return request.toByteArray();
  }

  private Response read(long deadlineMs) throws IOException {
    int status = Integer.parseInt(readLine(deadlineMs).split(" ", -1)[1]);
    int length = 0;
    boolean closes = false;
    boolean chunked = false;
    for (String line = readLine(deadlineMs); !line.isEmpty(); line = readLine(deadlineMs)) {
      String header = line.toLowerCase(Locale.ROOT);
      String value = header.substring(header.indexOf(':') + 1).trim();
      if (header.startsWith("content-length:")) {
        length = Integer.parseInt(value);
      } else if (header.startsWith("connection:")) {
        closes = value.equals("close");
      } else if (header.startsWith("transfer-encoding:")) {
        chunked = value.equals("chunked");
      }
    }
    String body = chunked ? readChunks(deadlineMs) : readText(length, deadlineMs);
    return new Response(status, closes, body);
  }

  private String readChunks(long deadlineMs) throws IOException {
    StringBuilder body = new StringBuilder();
    while (true) {
      int length = Integer.parseInt(readLine(deadlineMs), 16);
      body.append(readText(length, deadlineMs));
      readLine(deadlineMs);
      if (length == 0) {
        return body.toString();
      }
    }
  }

  private String readText(int length, long deadlineMs) throws IOException {
    byte[] text = new byte[length];
    for (int i = 0; i < length; i++) {
      text[i] = (byte) readByte(deadlineMs);
    }
    return new String(text, StandardCharsets.UTF_8);
  }

  private String readLine(long deadlineMs) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = readByte(deadlineMs); next != '\n'; next = readByte(deadlineMs)) {
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  private int readByte(long deadlineMs) throws IOException {
    // A timeout of 0 would wait for ever.
    socket.setSoTimeout((int) Math.max(1, deadlineMs - SoakRun.nowMs()));
    int next = input.read();
    if (next < 0) {
      throw new EOFException();
    }
    return next;
  }

  /** Returns the state in a body such as {@code {"state":"active"}}. */
  private static String state(String body) {
    String[] parts = body.split("\"", -1);
    return parts.length > 3 && parts[1].equals("state") ? parts[3] : "";
  }

  @Override
  public void close() {
    open = false;
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is closed already.
    }
  }
}
