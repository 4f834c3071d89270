package org.plantainloom.transport.node;

import com.codahale.metrics.Meter;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.plantainloom.coordination.rack.RackOwner;
import org.plantainloom.state.EventKind;
import org.plantainloom.state.WorkerCommands;
import org.plantainloom.state.WorkerControl;
import org.plantainloom.state.WorkerId;
import org.plantainloom.state.WorkerInfo;
import org.plantainloom.state.WorkerReport;
import org.plantainloom.transport.duty.Duty;
import org.plantainloom.transport.http.ProcessContext;

/** Sends each worker its control messages: at once when they are pressing, else as a heartbeat. */
final class WorkerSync {
  private static final long HEARTBEAT_MS = 2_000;
  private static final long PRESSING_GAP_MS = 100;

  private final ProcessContext process;
  private final WorkerControl control;
  private final Duty duty;
  private final Map<WorkerId, Exchange> exchanges = new HashMap<>();
  private final Meter messages;

  private static final class Exchange {
    private boolean inFlight;
    private long lastSentMs;
    private boolean unreachable;
  }

  WorkerSync(ProcessContext process, WorkerControl control, Duty duty) {
    this.process = process;
    this.control = control;
    this.duty = duty;
    this.messages = process.metrics().meter("workers.messages");
  }

  void syncIfDue(RackOwner owner, WorkerInfo worker, long nowMs) {
    Exchange exchange = exchanges.computeIfAbsent(worker.id(), w -> new Exchange());
    long sinceMs = nowMs - exchange.lastSentMs;
    if (exchange.inFlight || sinceMs < PRESSING_GAP_MS) {
      return;
    }
    WorkerCommands commands = owner.commandsFor(worker, nowMs);
    if (!commands.isPressing() && sinceMs < HEARTBEAT_MS) {
      return;
    }
    exchange.inFlight = true;
    exchange.lastSentMs = nowMs;
    messages.mark();
    owner.commandsSent(commands);
    duty.take(control.sync(worker, commands), report -> answered(owner, worker, exchange, report));
  }

  private void answered(
      RackOwner owner, WorkerInfo worker, Exchange exchange, Optional<WorkerReport> report) {
    exchange.inFlight = false;
    report.ifPresent(r -> owner.reportReceived(r, process.nowMs()));
    if (report.isEmpty() != exchange.unreachable) {
      exchange.unreachable = report.isEmpty();
      EventKind kind = report.isEmpty() ? EventKind.WORKER_UNREACHABLE : EventKind.WORKER_REACHABLE;
      process.record(kind, worker.id(), worker.address());
    }
  }
}
