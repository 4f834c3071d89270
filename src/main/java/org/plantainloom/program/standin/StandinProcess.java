package org.plantainloom.program.standin;

import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.plantainloom.program.BoundAddress;
import org.plantainloom.program.CommonSettings;
import org.plantainloom.program.ExitCode;
import org.plantainloom.program.StopSignal;
import org.plantainloom.state.EventKind;
import org.plantainloom.transport.duty.EventLoop;
import org.plantainloom.transport.http.ProcessContext;
import org.plantainloom.transport.http.ProcessServer;
import org.plantainloom.transport.http.Readiness;

/** A running stand-in: one server for the platform, one port for each worker. */
final class StandinProcess {
  private static final long ADVANCE_MS = 20;

  private final ProcessContext process;
  private final ExecutionLedger ledger = new ExecutionLedger();
  private final PlatformService platform;
  private final Server server;
  private final EventLoop pulse;

  private StandinProcess(StandinSettings settings) throws IOException {
    CommonSettings common = settings.common();
    this.process = ProcessContext.create(common.name());
    this.platform = new PlatformService(process, ledger, settings.seed());
    InetSocketAddress listen = BoundAddress.resolved(common.listen());
    Readiness readiness = new Readiness();
    WorkerFleet fleet = new WorkerFleet(settings, process, ledger, platform);
    ServerBuilder builder = ProcessServer.builder(listen, process, readiness);
    builder
        .requestTimeoutMillis(0)
        .annotatedService(platform)
        .serviceUnder("/kv", platform.storeService());
    this.server = builder.build();
    server.start().join();
    platform.workersAre(fleet.start(listen.getHostString()));
    this.pulse = EventLoop.start("pulse", ADVANCE_MS, platform::advance);
    readiness.set(true);
    String address = BoundAddress.of(common, server);
    BoundAddress.publish(common, address);
    process.record(EventKind.PROCESS_STARTED, common.name(), address);
  }

  static ExitCode run(StandinSettings settings) throws IOException {
    settings.common().logLevel().apply();
    StandinProcess standin = new StandinProcess(settings);
    StopSignal.onSignal(standin::stop);
    return ExitCode.OK;
  }

  private void stop() {
    pulse.close();
    server.stop().join();
  }
}
