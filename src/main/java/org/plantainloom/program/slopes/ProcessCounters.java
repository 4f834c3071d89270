package org.plantainloom.program.slopes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.plantainloom.program.slopes.SlopesSettings.MonitoredProcess;
import org.plantainloom.transport.http.JsonClient;

/**
 * Cumulative counters of a process, and its current memory.
 *
 * @param cpuTicks user and system processor time, in clock ticks
 * @param rssKb resident memory, in kilobytes
 * @param wireBytes bytes received and sent
 * @param storeReads reads, lists and watches of the store
 * @param storeWrites writes and lease renewals in the store
 */
record ProcessCounters(
    long cpuTicks, long rssKb, long wireBytes, long storeReads, long storeWrites) {
  // Indices of utime and stime among the fields after the command name, see proc(5).
  private static final int USER_TIME_FIELD = 11;
  private static final int SYSTEM_TIME_FIELD = 12;
  private static final long METRICS_TIMEOUT_MS = 3_000;

  static ProcessCounters of(JsonClient client, MonitoredProcess process) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    long cpuTicks =
        Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
    long rssKb =
        Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
            .filter(l -> l.startsWith("VmRSS:"))
            .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
            .findFirst()
            .orElse(0);
    String body = client.get(process.address(), "/metrics", METRICS_TIMEOUT_MS).join().body();
    JsonNode meters = new ObjectMapper().readTree(body).path("meters");
    return new ProcessCounters(
        cpuTicks,
        rssKb,
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
