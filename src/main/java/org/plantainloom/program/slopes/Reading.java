package org.plantainloom.program.slopes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.plantainloom.program.slopes.SlopesSettings.Watched;
import org.plantainloom.transport.http.JsonClient;

/** Counters of a process at one moment. */
record Reading(long cpuTicks, long rssKb, long wireBytes, long storeReads, long storeWrites) {
  private static final int UTIME = 11; // after the command name, as in proc(5)
  private static final int STIME = 12;
  private static final long TIMEOUT_MS = 3_000;

  static Reading of(JsonClient client, Watched process) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    long cpu = Long.parseLong(fields[UTIME]) + Long.parseLong(fields[STIME]);
    long rss =
        Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
            .filter(l -> l.startsWith("VmRSS:"))
            .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
            .findFirst()
            .orElse(0);
    String body = client.get(process.address(), "/metrics", TIMEOUT_MS).join().body();
    JsonNode meters = new ObjectMapper().readTree(body).path("meters");
    return new Reading(
        cpu,
        rss,
        count(meters, "wire.received") + count(meters, "wire.sent"),
        count(meters, "store.reads")
            + count(meters, "store.lists")
            + count(meters, "store.watches"),
        count(meters, "store.writes") + count(meters, "store.leases"));
  }

  private static long count(JsonNode meters, String name) {
    return meters.path(name).path("count").asLong(0);
  }
}
