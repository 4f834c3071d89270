package org.plantainloom.transport.dispatch;

import java.util.List;
import org.plantainloom.state.job.WorkerEntry;

/**
 * The workers on which an owner may have started tasks, as kept in the store; a later owner asks
 * each of them what it runs, also those whose registration has lapsed.
 *
 * @param workers the workers
 */
record FleetRecord(List<WorkerEntry> workers) {}
