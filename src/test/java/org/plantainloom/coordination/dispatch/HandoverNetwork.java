package org.plantainloom.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.plantainloom.state.job.CommandReply;
import org.plantainloom.state.job.PollReply;

/** Carries commands and replies: delayed, late, or not at all. */
final class HandoverNetwork {
  /** A call without an answer counts as lost after this time. */
  private static final long CALL_TIMEOUT_MS = 600;

  private static final int DELAY_MS = 30;

  private final HandoverSimulation simulation;
  private final List<LinkCut> cuts = new ArrayList<>();

  HandoverNetwork(HandoverSimulation simulation) {
    this.simulation = simulation;
  }

  void add(LinkCut cut) {
    cuts.removeIf(other -> other.untilMs() <= simulation.nowMs());
    cuts.add(cut);
  }

  boolean isZoneCut() {
    return zoneCuts(cut -> simulation.nowMs() < cut.untilMs());
  }

  boolean isCut(int fromZone, int toZone) {
    return zoneCuts(cut -> cut.drops(fromZone, toZone, simulation.nowMs()));
  }

  private boolean zoneCuts(Predicate<ZoneCut> predicate) {
    return cuts.stream().anyMatch(cut -> cut instanceof ZoneCut zoneCut && predicate.test(zoneCut));
  }

  /** Returns whether calls to the store are answered. */
  boolean reachesStore(int zone) {
    return !isCut(zone, ZoneCut.STORE_ZONE) && !isCut(ZoneCut.STORE_ZONE, zone);
  }

  /** Sends a command; it and its answer take their time, and either may be lost. */
  void send(HandoverOwner owner, DispatchCommand command) {
    HandoverWorker worker = simulation.worker(command.worker().id());
    long sentMs = owner.time();
    boolean faulty = simulation.isFaulty() && simulation.drawInt(40) == 0;
    boolean late =
        faulty
            && (simulation.scenario().delaysPolls() || !(command instanceof DispatchCommand.Poll));
    long delayMs = late ? 2_000 + simulation.drawInt(5_000) : 1 + simulation.drawInt(DELAY_MS);
    Message message = new Message(owner, worker, command, sentMs, worker.startedAtMs());
    if (worker.isDown()) {
      simulation.after(delayMs, () -> owner.receive(lost(owner, command)));
      return;
    }
    simulation.after(delayMs, () -> deliver(message, !faulty));
    if (faulty) {
      simulation.after(
          CALL_TIMEOUT_MS + replyDelayMs(command), () -> owner.receive(lost(owner, command)));
    }
  }

  /**
   * A command on its way.
   *
   * @param sentMs when it was sent, on the owner's clock
   * @param life when the life of the worker began to which it was sent; its connection ends with it
   */
  private record Message(
      HandoverOwner owner, HandoverWorker worker, DispatchCommand command, long sentMs, long life) {
    boolean isConnected() {
      return worker.startedAtMs() == life;
    }

    Runnable execute() {
      return worker.execute(owner, command, sentMs);
    }
  }

  private void deliver(Message message, boolean answered) {
    HandoverOwner owner = message.owner();
    HandoverWorker worker = message.worker();
    Optional<LinkCut> cut = cut(other -> other.stopsCommand(owner, worker, simulation.nowMs()));
    if (cut.isPresent() || simulation.nowMs() < worker.silentUntilMs || !message.isConnected()) {
      if (answered) {
        simulation.after(CALL_TIMEOUT_MS, () -> owner.receive(lost(owner, message.command())));
      }
      cut.filter(LinkCut::holdsMessages).ifPresent(held -> deliverAfter(held, message));
      return;
    }
    Runnable reply = message.execute();
    if (answered) {
      simulation.after(
          1 + simulation.drawInt(DELAY_MS) + replyDelayMs(message.command()),
          () ->
              owner.receive(
                  cut(other -> other.stopsReply(owner, worker, simulation.nowMs())).isPresent()
                      ? lost(owner, message.command())
                      : reply));
    }
  }

  /** Delivers a message whose sender has given up when the cut ends. */
  private void deliverAfter(LinkCut cut, Message message) {
    simulation.after(
        cut.untilMs() - simulation.nowMs() + simulation.drawInt(DELAY_MS),
        () -> deliver(message, false));
  }

  private Optional<LinkCut> cut(Predicate<LinkCut> predicate) {
    return cuts.stream().filter(predicate).findFirst();
  }

  private static long replyDelayMs(DispatchCommand command) {
    return command instanceof DispatchCommand.Poll poll ? Math.min(poll.waitMs(), 200) : 0;
  }

  private static Runnable lost(HandoverOwner owner, DispatchCommand command) {
    Dispatcher dispatcher = owner.dispatcher();
    if (command instanceof DispatchCommand.Start start) {
      return () -> dispatcher.startAnswered(start, CommandReply.UNKNOWN, owner.time());
    } else if (command instanceof DispatchCommand.Stop stop) {
      return () -> dispatcher.stopAnswered(stop, CommandReply.UNKNOWN, owner.time());
    }
    return () ->
        dispatcher.pollAnswered(
            command.worker(), new PollReply.Unavailable("no answer"), owner.time(), owner.time());
  }
}
