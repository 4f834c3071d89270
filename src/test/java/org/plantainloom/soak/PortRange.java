package org.plantainloom.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A range of ports that this process alone gives to nodes. A node that is down leaves its ports
 * free, and the node of another test process on the machine would answer in its place.
 *
 * <p>The ports are below the kernel's ephemeral range, so that no outgoing connection takes the
 * port of a node while the node is down.
 */
final class PortRange {
  private static final int FIRST_PORT = 20_000;
  private static final int PORTS_PER_RANGE = 600;
  private static final int RANGES = 20;
  private static final PortRange OWN = reserve();

  private final int firstPort;
  private int nextOffset;

  @SuppressWarnings({"unused", "FieldCanBeLocal"}) // the lock ends with the channel
  private final FileChannel lockFile;

  private PortRange(int firstPort, FileChannel lockFile) {
    this.firstPort = firstPort;
    this.lockFile = lockFile;
  }

  private static PortRange reserve() {
    try {
      for (int i = 0; i < RANGES; i++) {
        Path path = Path.of(System.getProperty("java.io.tmpdir"), "plantainloom-soak-ports-" + i);
        FileChannel lockFile =
            FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (lockFile.tryLock() != null) {
          return new PortRange(FIRST_PORT + i * PORTS_PER_RANGE, lockFile);
        }
        lockFile.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    throw new IllegalStateException("all port ranges are in use by other test processes");
  }

  /** Returns a port that nothing listens on. */
  static int freePort() throws IOException {
    return OWN.next();
  }

  private synchronized int next() throws IOException {
    while (true) {
      int port = firstPort + nextOffset;
      nextOffset = (nextOffset + 1) % PORTS_PER_RANGE;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // The port is in use, so the next one is tried.
      }
    }
  }
}
