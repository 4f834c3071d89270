package org.plantainloom.coordination.rack;

import org.plantainloom.state.RackId;
import org.plantainloom.state.WorkerCommands;
import org.plantainloom.state.WorkerInfo;

/**
 * Action that a scheduler carries out for its racks; results go back to the {@link
 * RackCoordinator}.
 */
public sealed interface RackAction {
  /**
   * Reads a rack's record.
   *
   * @param rack the rack
   */
  record ReadRecord(RackId rack) implements RackAction {}

  /**
   * Writes a rack's record by compare-and-swap.
   *
   * @param write the write to perform
   */
  record WriteRecord(RackWrite write) implements RackAction {}

  /**
   * Sends a control message to a worker.
   *
   * @param rack the worker's rack
   * @param worker the worker
   * @param commands the message
   */
  record SyncWorker(RackId rack, WorkerInfo worker, WorkerCommands commands)
      implements RackAction {}

  /** Re-reads the configuration index, because the known zones are too old to start a task. */
  record RefreshZones() implements RackAction {}
}
