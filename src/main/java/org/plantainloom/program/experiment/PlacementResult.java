package org.plantainloom.program.experiment;

import java.util.Locale;
import org.plantainloom.coordination.plan.PlacementPolicy;

/**
 * Result of running one placement policy on a fleet.
 *
 * @param policy the placement policy
 * @param workers size of the fleet, in workers
 * @param arrived batch tasks that arrived
 * @param finished batch tasks that finished
 * @param evictions tasks evicted in favor of urgent tasks or replicas
 * @param strandedAccelerators mean percentage of accelerators that are free on workers without the
 *     CPU or memory for any accelerated task
 * @param urgentP50Ms median time from the arrival of an urgent task to its placement, in
 *     milliseconds
 * @param urgentP99Ms 99th percentile of that time, in milliseconds
 * @param roundMs mean duration of a planning round, in milliseconds
 * @param placementMicros mean planning time per placement, in microseconds
 */
record PlacementResult(
    PlacementPolicy policy,
    int workers,
    int arrived,
    int finished,
    int evictions,
    double strandedAccelerators,
    long urgentP50Ms,
    long urgentP99Ms,
    double roundMs,
    double placementMicros) {

  static String header() {
    return String.format(
        Locale.ROOT,
        "%7s %-22s %8s %8s %9s %10s %10s %10s %9s %10s",
        "WORKERS",
        "POLICY",
        "ARRIVED",
        "FINISHED",
        "EVICTIONS",
        "STRANDED-%",
        "URGENT-P50",
        "URGENT-P99",
        "ROUND-MS",
        "PLACE-US");
  }

  String line() {
    return String.format(
        Locale.ROOT,
        "%7d %-22s %8d %8d %9d %10.1f %10d %10d %9.2f %10.1f",
        workers,
        policy,
        arrived,
        finished,
        evictions,
        strandedAccelerators,
        urgentP50Ms,
        urgentP99Ms,
        roundMs,
        placementMicros);
  }
}
