package org.plantainloom.transport.dispatch;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainloom.coordination.dispatch.FleetMember;
import org.plantainloom.coordination.dispatch.OwnerTime;
import org.plantainloom.state.job.TaskKey;
import org.plantainloom.state.job.WorkerRegistration;

/**
 * The workers on which an owner may have started tasks, as stored. A later owner asks each of them
 * what it runs, including those whose registration has expired; {@link StoredFleet} reads the
 * record.
 *
 * @param workers the workers
 * @param silentTasks for each worker that was not responding when the record was written, all tasks
 *     that it may be running; nothing was started there afterwards
 * @param silentUntil for each of those workers, when its lease has ended for certain, on the clocks
 *     of the owner that wrote this; older releases do not write this field
 * @param incomplete whether previous owners may have started tasks on other workers, too, because
 *     their record was damaged; older releases do not write this field
 */
record FleetRecord(
    List<WorkerRegistration> workers,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, List<String>> silentTasks,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, OwnerTime> silentUntil,
    @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean incomplete) {
  /**
   * Creates the record of an owner's workers.
   *
   * @param now the present moment on the owner's clocks
   */
  static FleetRecord of(List<FleetMember> fleet, OwnerTime now, boolean incomplete) {
    Map<String, List<String>> silentTasks = new HashMap<>();
    Map<String, OwnerTime> silentUntil = new HashMap<>();
    for (FleetMember member : fleet) {
      String id = member.entry().id();
      member
          .possibleTasks()
          .ifPresent(keys -> silentTasks.put(id, keys.stream().map(TaskKey::toString).toList()));
      member.leaseEndMs().ifPresent(end -> silentUntil.put(id, now.plus(end - now.monotonicMs())));
    }
    List<WorkerRegistration> workers = fleet.stream().map(FleetMember::entry).toList();
    return new FleetRecord(workers, silentTasks, silentUntil, incomplete);
  }
}
