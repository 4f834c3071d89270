package org.plantainloom.program.scheduler;

import com.linecorp.armeria.server.Server;
import java.io.IOException;
import org.plantainloom.program.BoundAddress;
import org.plantainloom.program.CommonSettings;
import org.plantainloom.program.ExitCode;
import org.plantainloom.program.StopSignal;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.KeyValueStore;
import org.plantainloom.state.MemberId;
import org.plantainloom.state.MemberRecord;
import org.plantainloom.state.MemberRole;
import org.plantainloom.transport.admin.AdminApi;
import org.plantainloom.transport.http.JsonClient;
import org.plantainloom.transport.http.ProcessContext;
import org.plantainloom.transport.http.ProcessServer;
import org.plantainloom.transport.http.Readiness;
import org.plantainloom.transport.node.PeerApi;
import org.plantainloom.transport.node.SchedulerComponents;
import org.plantainloom.transport.platform.HttpKeyValueStore;
import org.plantainloom.transport.platform.HttpVmList;
import org.plantainloom.transport.platform.HttpWorkerControl;

/** A running scheduler, and its planned stop. */
final class SchedulerProcess {
  private static final long MAX_DOCUMENT_BYTES = 16L << 20;
  private static final long MAX_REQUEST_MS = 60_000;

  private final ProcessContext process;
  private final Readiness readiness = new Readiness();
  private final JsonClient client;
  private final Server server;
  private final SchedulerComponents duties;

  private SchedulerProcess(SchedulerSettings settings) throws IOException {
    CommonSettings common = settings.common();
    this.process = ProcessContext.create(common.name());
    this.client = JsonClient.create(process.clock(), process.metrics());
    KeyValueStore store = new HttpKeyValueStore(client, settings.store(), process.metrics());
    this.server =
        ProcessServer.builder(BoundAddress.resolved(common.listen()), process, readiness)
            .maxRequestLength(MAX_DOCUMENT_BYTES)
            .requestTimeoutMillis(MAX_REQUEST_MS)
            .build();
    server.start().join();
    String address = BoundAddress.of(common, server);
    MemberRecord self =
        new MemberRecord(
            new MemberId(common.name() + "-" + process.nowMs()),
            MemberRole.SCHEDULER,
            address,
            settings.zone(),
            false);
    this.duties =
        SchedulerComponents.start(
            process,
            store,
            new HttpVmList(client, settings.vmList()),
            new HttpWorkerControl(client),
            client,
            self);
    server.reconfigure(
        builder -> {
          ProcessServer.addCommonEndpoints(builder, process, readiness)
              .maxRequestLength(MAX_DOCUMENT_BYTES)
              .requestTimeoutMillis(MAX_REQUEST_MS)
              .annotatedService(new PeerApi(duties))
              .annotatedService(new AdminApi(process, store, duties, client, settings.tokens()));
        });
    readiness.set(true);
    BoundAddress.publish(common, address);
    process.record(EventKind.PROCESS_STARTED, common.name(), address);
  }

  static ExitCode run(SchedulerSettings settings) throws IOException {
    settings.common().logLevel().apply();
    SchedulerProcess scheduler = new SchedulerProcess(settings);
    StopSignal.onSignal(scheduler::stop);
    return ExitCode.OK;
  }

  private void stop() throws InterruptedException {
    process.record(EventKind.PROCESS_LEAVING, process.name(), "planned stop");
    readiness.set(false);
    duties.handOver(process.time());
    server.stop().join();
    process.record(EventKind.PROCESS_STOPPED, process.name(), "all racks handed over");
    duties.close();
    client.close();
  }
}
