package org.plantainloom.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a caller records of a connection that ends, and of responses. */
public class HttpChannelTest {
  private static final String JOB = "00000000000000aa";
  private static final String HEAD = "HTTP/1.1 200 OK\r\n";

  private ServerSocket server;
  private HttpChannel channel;

  @BeforeMethod
  public void setUp() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  }

  @AfterMethod
  public void tearDown() throws IOException {
    channel.close();
    server.close();
  }

  /** Sends a request to a server that responds with a text, and then ends the connection. */
  private Exchange exchange(String response) throws IOException {
    Thread thread = new Thread(() -> respond(response));
    thread.setDaemon(true);
    thread.start();
    channel = HttpChannel.connect(2, "127.0.0.1:" + server.getLocalPort());
    return channel.send("GET", JOB, "");
  }

  private void respond(String response) {
    try (Socket socket = server.accept()) {
      InputStream input = socket.getInputStream();
      String request = "";
      while (!request.endsWith("\r\n\r\n")) {
        request += (char) input.read();
      }
      socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException e) {
      // The test ended.
    }
  }

  @Test
  public void should_record_a_complete_response() throws IOException {
    Exchange exchange = exchange(HEAD + "Content-Length: 18\r\n\r\n{\"state\":\"active\"}");
    assertThat(exchange.end()).isEqualTo(Exchange.End.ANSWERED);
    assertThat(exchange.status()).isEqualTo(200);
    assertThat(exchange.state()).isEqualTo("active");
    assertThat(exchange.node()).isEqualTo(2);
    assertThat(channel.isOpen()).isTrue();
  }

  @Test
  public void should_record_a_response_in_chunks() throws IOException {
    Exchange exchange =
        exchange(
            HEAD
                + "Transfer-Encoding: chunked\r\n\r\n9\r\n{\"state\":\r\n9\r\n\"active\"}\r\n0\r\n\r\n");
    assertThat(exchange.state()).isEqualTo("active");
  }

  @Test
  public void should_end_a_connection_that_the_node_asks_to_close() throws IOException {
    Exchange exchange =
        exchange("HTTP/1.1 410 Gone\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assertThat(exchange.status()).isEqualTo(Exchange.GONE);
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  public void should_record_a_connection_that_ends_without_a_response() throws IOException {
    assertThat(exchange("").end()).isEqualTo(Exchange.End.CUT);
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  public void should_record_a_connection_that_ends_within_a_response() throws IOException {
    assertThat(exchange(HEAD + "Content-Length: 18\r\n\r\n{\"state\"").end())
        .isEqualTo(Exchange.End.CUT);
  }

  @Test
  public void should_record_silence_as_a_timeout() throws IOException {
    channel = HttpChannel.connect(2, "127.0.0.1:" + server.getLocalPort());
    Exchange exchange = channel.send("GET", JOB, "");
    assertThat(exchange.end()).isEqualTo(Exchange.End.TIMED_OUT);
    assertThat(exchange.durationMs()).isGreaterThanOrEqualTo(Exchange.DEADLINE_MS);
  }
}
