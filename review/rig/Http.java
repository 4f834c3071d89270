import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** A small HTTP server on a free loopback port, and helpers for JSON and time. */
final class Http {
  static final ObjectMapper JSON = new ObjectMapper();

  /** A request; the channel is the port of the peer. */
  record Call(
      String method, String path, Map<String, String> queries, String instance, int channel, String body) {
    String query(String name) {
      return queries.getOrDefault(name, "");
    }

    JsonNode json() throws IOException {
      return JSON.readTree(body.isEmpty() ? "{}" : body);
    }
  }

  /** A response; status 0 means that none is sent and the channel is closed. */
  record Reply(int status, ObjectNode body) {}

  /** Answers requests; may block. */
  interface Handler {
    Reply handle(Call call) throws Exception;
  }

  private final HttpServer server;

  Http(Handler handler) throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1000);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", exchange -> serve(exchange, handler));
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static void serve(HttpExchange exchange, Handler handler) {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Map<String, String> queries = new HashMap<>();
      String raw = exchange.getRequestURI().getRawQuery();
      if (raw != null) {
        for (String part : raw.split("&")) {
          String[] pair = part.split("=", 2);
          queries.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
        }
      }
      String instance = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
      Reply reply =
          handler.handle(
              new Call(
                  exchange.getRequestMethod(),
                  exchange.getRequestURI().getPath(),
                  queries,
                  instance,
                  exchange.getRemoteAddress().getPort(),
                  body));
      if (reply.status() == 0) {
        return;
      }
      byte[] bytes = reply.body() == null ? new byte[0] : reply.body().toString().getBytes(StandardCharsets.UTF_8);
      if (bytes.length > 0) {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
      }
      exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
      if (bytes.length > 0) {
        exchange.getResponseBody().write(bytes);
      }
    } catch (IOException e) {
      // The peer has closed the channel.
    } catch (Exception e) {
      e.printStackTrace();
    }
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  static ArrayNode array() {
    return JSON.createArrayNode();
  }

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
