package org.plantainloom.program;

import java.net.InetSocketAddress;
import org.plantainloom.protocol.document.DocumentReader;

/**
 * Settings shared by all long-running programs.
 *
 * @param name name of the process, unique among its peers
 * @param listen address to listen on; port 0 selects a free port
 * @param addressFile file that receives the bound address; empty for none
 * @param logLevel minimum severity that is logged
 */
public record CommonSettings(
    String name, InetSocketAddress listen, String addressFile, LogLevel logLevel) {

  /** Reads the settings from the root object of a document. */
  public static CommonSettings read(DocumentReader root) {
    return new CommonSettings(
        root.name("name"),
        readAddress(root, "listen"),
        root.text("addressFile", ""),
        root.has("logLevel") ? root.enumConstant("logLevel", LogLevel.class) : LogLevel.INFO);
  }

  /** Reads an address of the form {@code host:port} without resolving the host. */
  public static InetSocketAddress readAddress(DocumentReader root, String key) {
    String text = root.text(key);
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port >= 0 && port <= 65_535) {
        return InetSocketAddress.createUnresolved(text.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      // Handled below, together with a port out of range.
    }
    root.addProblem(key, "an address of the form host:port", "\"" + text + "\"");
    return InetSocketAddress.createUnresolved("localhost", 0);
  }
}
