package org.plantainloom.program.standin;

import java.util.List;
import org.plantainloom.state.WorkerId;

/**
 * Faults that are switched on.
 *
 * @param storeDown whether the store answers nothing
 * @param storeDelayMs extra delay of the store's answers in milliseconds
 * @param loseAnswerPercent share of the store's writes whose answer is lost
 * @param unreachableWorkers workers that answer no control message
 * @param frozenVmList whether the VM list no longer changes
 */
record Faults(
    boolean storeDown,
    int storeDelayMs,
    int loseAnswerPercent,
    List<WorkerId> unreachableWorkers,
    boolean frozenVmList) {

  Faults {
    unreachableWorkers = List.copyOf(unreachableWorkers);
  }

  static Faults none() {
    return new Faults(false, 0, 0, List.of(), false);
  }
}
