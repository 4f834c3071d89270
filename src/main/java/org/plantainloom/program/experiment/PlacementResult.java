package org.plantainloom.program.experiment;

import java.util.Locale;
import org.plantainloom.coordination.plan.PlacementPolicy;

/**
 * What one policy did with the arrivals.
 *
 * @param policy the policy
 * @param workers size of the fleet
 * @param arrived batch tasks that arrived
 * @param finished batch tasks that finished
 * @param evictions tasks evicted for urgent ones or replicas
 * @param strandedAccelerators mean share of free accelerators beside which no task fits, in percent
 * @param urgentP50Ms median time to start of urgent tasks, in milliseconds
 * @param urgentP99Ms 99th percentile of it
 * @param roundMs mean time of a planning round, in milliseconds
 * @param placementMicros mean time of one placement, in microseconds
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
