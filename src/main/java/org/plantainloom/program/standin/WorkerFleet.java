package org.plantainloom.program.standin;

import com.linecorp.armeria.server.Server;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.plantainloom.program.standin.StandinSettings.ZoneSettings;
import org.plantainloom.state.RackId;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.transport.http.ProcessContext;

/** Starts the servers of all workers. */
final class WorkerFleet {
  private final StandinSettings settings;
  private final ProcessContext process;
  private final ExecutionLedger ledger;
  private final PlatformService platform;

  WorkerFleet(
      StandinSettings settings,
      ProcessContext process,
      ExecutionLedger ledger,
      PlatformService platform) {
    this.settings = settings;
    this.process = process;
    this.ledger = ledger;
    this.platform = platform;
  }

  List<InMemoryWorker> start(String host) {
    List<InMemoryWorker> workers = new ArrayList<>();
    for (ZoneSettings zone : settings.zones()) {
      for (int i = 0; i < zone.workers(); i++) {
        workers.add(start(host, zone, i));
      }
    }
    return workers;
  }

  private InMemoryWorker start(String host, ZoneSettings zone, int index) {
    WorkerService service = new WorkerService(platform, settings.requestMs());
    Server server =
        Server.builder()
            .http(new InetSocketAddress(host, 0))
            .requestTimeoutMillis(0)
            .idleTimeoutMillis(0)
            .serviceUnder("/", service)
            .build();
    server.start().join();
    String rack = zone.zone() + "-r" + index / zone.workersPerRack();
    WorkerInfo info =
        new WorkerInfo(
            new WorkerId(zone.zone() + "-w" + index),
            new RackId(rack),
            zone.zone(),
            zone.region(),
            host + ":" + server.activeLocalPort(),
            1,
            zone.capacity(),
            zone.slots(),
            zone.connections(),
            false);
    long seed = settings.seed() * 1_000L + info.id().hashCode();
    InMemoryWorker worker =
        new InMemoryWorker(info, ledger, process.time(), settings.runTimeLies(), seed);
    service.serves(worker);
    return worker;
  }
}
