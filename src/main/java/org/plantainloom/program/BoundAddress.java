package org.plantainloom.program;

import com.linecorp.armeria.server.Server;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Resolves the configured listen address and reports the one a server is bound to. */
public final class BoundAddress {
  private BoundAddress() {}

  /** Returns the resolved form of a configured listen address. */
  public static InetSocketAddress resolve(InetSocketAddress listen) {
    return new InetSocketAddress(listen.getHostString(), listen.getPort());
  }

  /** Returns {@code host:port} of a started server: the configured host and the actual port. */
  public static String hostAndPort(CommonSettings settings, Server server) {
    return settings.listen().getHostString() + ":" + server.activeLocalPort();
  }

  /**
   * Writes the address to the configured address file, if there is one.
   *
   * <p>The file is moved into place atomically, so that a waiting script never reads part of it.
   */
  public static void writeToFile(CommonSettings settings, String address) throws IOException {
    if (settings.addressFile().isEmpty()) {
      return;
    }
    Path file = Path.of(settings.addressFile());
    Path temporary = Path.of(settings.addressFile() + ".tmp");
    Files.writeString(temporary, address);
    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
  }
}
