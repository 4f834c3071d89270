package org.plantainloom.program;

import com.linecorp.armeria.server.Server;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** The address a server listens on, once it is known. */
public final class BoundAddress {
  private BoundAddress() {}

  /** Returns an address to bind to, resolved. */
  public static InetSocketAddress resolve(InetSocketAddress listen) {
    return new InetSocketAddress(listen.getHostString(), listen.getPort());
  }

  /** Returns host and port of a started server, with the host as the settings name it. */
  public static String hostAndPort(CommonSettings settings, Server server) {
    return settings.listen().getHostString() + ":" + server.activeLocalPort();
  }

  /** Writes the address to the file that the settings name, if any. */
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
