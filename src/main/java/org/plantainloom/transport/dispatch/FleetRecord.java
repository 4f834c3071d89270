package org.plantainloom.transport.dispatch;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Map;
import org.plantainloom.state.job.WorkerRegistration;

/**
 * The workers on which an owner may have started tasks, as stored. A later owner asks each of them
 * what it runs, including those whose registration has expired.
 *
 * @param workers the workers
 * @param silentTasks for each worker that was not responding when the record was written, all tasks
 *     that it may be running; nothing was started there afterwards
 */
record FleetRecord(
    List<WorkerRegistration> workers,
    @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, List<String>> silentTasks) {
  FleetRecord {
    silentTasks = silentTasks == null ? Map.of() : silentTasks;
  }
}
