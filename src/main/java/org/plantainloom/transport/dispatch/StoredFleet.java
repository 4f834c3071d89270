package org.plantainloom.transport.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.plantainloom.coordination.dispatch.FleetMember;
import org.plantainloom.coordination.dispatch.OwnerTime;
import org.plantainloom.protocol.Json;
import org.plantainloom.protocol.MalformedMessageException;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;

/**
 * The workers of a {@link FleetRecord} as far as it is readable: one row that another writer has
 * damaged does not hide the others.
 *
 * @param members the readable workers
 * @param damage why previous owners may have started tasks on other workers, too; empty if they did
 *     not
 */
record StoredFleet(List<FleetMember> members, Optional<String> damage) {
  private static final int MAX_PORT = 65_535;

  /** Sums of a worker's clock and the length of a lease must not overflow. */
  static final long MAX_CLOCK_MS = Long.MAX_VALUE / 2;

  /**
   * Reads a record.
   *
   * @param clocks returns the latest time on this process's clock of a moment on an owner's clocks
   */
  static StoredFleet parse(String text, Function<OwnerTime, OptionalLong> clocks) {
    JsonNode record;
    try {
      record = Json.read(text, JsonNode.class);
    } catch (MalformedMessageException e) {
      return new StoredFleet(List.of(), Optional.of(e.getMessage()));
    }
    if (!record.path("workers").isArray()) {
      return new StoredFleet(List.of(), Optional.of("no list of workers"));
    }
    List<FleetMember> members = new ArrayList<>();
    List<String> damages = new ArrayList<>();
    for (JsonNode row : record.path("workers")) {
      try {
        members.add(member(worker(row), record, clocks));
      } catch (MalformedMessageException e) {
        damages.add(e.getMessage());
      }
    }
    if (namesOtherWorkers(record.path("silentTasks"), members)) {
      damages.add("tasks of a worker that is not listed");
    }
    JsonNode incomplete = record.path("incomplete");
    if (!incomplete.isMissingNode() && !incomplete.equals(BooleanNode.FALSE)) {
      damages.add("a former owner could not read all of it");
    }
    return new StoredFleet(members, damages.stream().findFirst());
  }

  private static FleetMember member(
      WorkerRegistration worker, JsonNode record, Function<OwnerTime, OptionalLong> clocks) {
    JsonNode tasks = record.path("silentTasks").path(worker.id());
    JsonNode until = record.path("silentUntil").path(worker.id());
    Optional<List<TaskKey>> possibleTasks = silentTasks(tasks);
    boolean damaged = possibleTasks.isEmpty() && !tasks.isMissingNode();
    Optional<OwnerTime> leaseEnd = damaged ? Optional.empty() : leaseEnd(until);
    return new FleetMember(
        worker,
        possibleTasks,
        !until.isMissingNode(),
        leaseEnd.map(clocks).orElse(OptionalLong.empty()),
        leaseEnd);
  }

  private static WorkerRegistration worker(JsonNode row) {
    WorkerRegistration worker = Json.read(row, WorkerRegistration.class);
    boolean valid =
        worker.id() != null
            && worker.service() != null
            && worker.zone() != null
            && worker.capacity() != null
            && worker.capacity().isWithinLimits()
            && worker.labels() != null
            && worker.labels().stream().allMatch(Objects::nonNull)
            && isAddress(worker.address())
            && worker.clockMs() <= MAX_CLOCK_MS;
    if (!valid) {
      throw MalformedMessageException.of(
          WorkerRegistration.class, "a missing or impossible value", null);
    }
    return worker;
  }

  private static boolean isAddress(String address) {
    int colon = address == null ? -1 : address.lastIndexOf(':');
    if (colon < 1) {
      return false;
    }
    try {
      int port = Integer.parseInt(address.substring(colon + 1));
      return port >= 1 && port <= MAX_PORT;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  /**
   * Returns the tasks that a silent worker may run. Empty if the worker was not silent, and also if
   * one of them is unreadable: as the list limits what the worker may run, part of it is of no use.
   */
  private static Optional<List<TaskKey>> silentTasks(JsonNode keys) {
    if (!keys.isArray()) {
      return Optional.empty();
    }
    List<TaskKey> tasks = new ArrayList<>();
    for (JsonNode key : keys) {
      Optional<TaskKey> task = key.isTextual() ? TaskKey.parse(key.asText()) : Optional.empty();
      if (task.isEmpty()) {
        return Optional.empty();
      }
      tasks.add(task.get());
    }
    return Optional.of(tasks);
  }

  private static Optional<OwnerTime> leaseEnd(JsonNode until) {
    try {
      return until.isObject() ? Optional.of(Json.read(until, OwnerTime.class)) : Optional.empty();
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  private static boolean namesOtherWorkers(JsonNode silentTasks, List<FleetMember> members) {
    Set<String> others = new HashSet<>();
    silentTasks.fieldNames().forEachRemaining(others::add);
    members.forEach(member -> others.remove(member.entry().id()));
    return !others.isEmpty();
  }
}
