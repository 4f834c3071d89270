package org.plantainloom.coordination.rack;

import org.plantainloom.state.RackId;
import org.plantainloom.state.WorkerCommands;
import org.plantainloom.state.WorkerInfo;

/** Something a scheduler has to do for its racks; its result comes back to the keeper. */
public sealed interface RackAction {
  /**
   * Read a rack's record.
   *
   * @param rack the rack
   */
  record ReadRecord(RackId rack) implements RackAction {}

  /**
   * Write a rack's record by compare-and-swap.
   *
   * @param write what to write
   */
  record WriteRecord(RackWrite write) implements RackAction {}

  /**
   * Send a worker a control message.
   *
   * @param rack the worker's rack
   * @param worker the worker
   * @param commands the message
   */
  record SyncWorker(RackId rack, WorkerInfo worker, WorkerCommands commands)
      implements RackAction {}

  /** Read the configuration index, since the view of the zones is too old to start anything. */
  record RefreshZones() implements RackAction {}
}
