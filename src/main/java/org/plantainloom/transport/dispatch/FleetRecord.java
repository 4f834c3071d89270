package org.plantainloom.transport.dispatch;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Map;
import org.plantainloom.state.job.WorkerRegistration;

/**
 * The workers on which an owner may have started tasks, as kept in the store; a later owner asks
 * each of them what it runs, also those whose registration has lapsed.
 *
 * @param workers the workers
 * @param silentTasks for each worker that did not answer when this was written, all tasks that it
 *     may run; nothing was started there afterwards
 */
record FleetRecord(
    List<WorkerRegistration> workers,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, List<String>> silentTasks) {
  FleetRecord {
    silentTasks = silentTasks == null ? Map.of() : silentTasks;
  }
}
