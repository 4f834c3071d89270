package org.plantainloom.program;

import java.net.InetSocketAddress;
import org.plantainloom.protocol.document.DocumentReader;

/**
 * Settings that every long-running program has.
 *
 * @param name the process's name, unique among its peers
 * @param listen address to listen on; port 0 takes a free one
 * @param addressFile file to write the bound address to; empty for none
 * @param logLevel least severe level that is logged
 */
public record CommonSettings(
    String name, InetSocketAddress listen, String addressFile, LogLevel logLevel) {

  /** Reads the settings from a document's root. */
  public static CommonSettings read(DocumentReader root) {
    return new CommonSettings(
        root.name("name"),
        address(root, "listen"),
        root.text("addressFile", ""),
        root.has("logLevel") ? root.enumConstant("logLevel", LogLevel.class) : LogLevel.INFO);
  }

  /** Reads an address of the form host:port. */
  public static InetSocketAddress address(DocumentReader root, String key) {
    String text = root.text(key);
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port >= 0 && port <= 65_535) {
        return InetSocketAddress.createUnresolved(text.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      // reported below
    }
    root.addProblem(key, "an address of the form host:port", "\"" + text + "\"");
    return InetSocketAddress.createUnresolved("localhost", 0);
  }
}
