package org.plantainloom.program.standin;

import java.util.List;
import org.plantainloom.state.WorkerId;

/**
 * Faults that the stand-in currently injects.
 *
 * @param storeDown whether the store rejects every request
 * @param storeDelayMs delay added to every response of the store, in milliseconds
 * @param loseAnswerPercent percentage of store writes that are processed but never answered
 * @param unreachableWorkers workers that do not answer control messages
 * @param frozenVmList whether the VM list no longer changes; accepted but not evaluated
 */
record InjectedFaults(
    boolean storeDown,
    int storeDelayMs,
    int loseAnswerPercent,
    List<WorkerId> unreachableWorkers,
    boolean frozenVmList) {

  InjectedFaults {
    unreachableWorkers = List.copyOf(unreachableWorkers);
  }

  static InjectedFaults none() {
    return new InjectedFaults(false, 0, 0, List.of(), false);
  }
}
