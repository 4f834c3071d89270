package org.plantainloom.program.slopes;

/**
 * Costs of one process over a measurement window.
 *
 * @param role role of the process
 * @param workers size of the fleet, in workers
 * @param cpuPercent processor time, in percent of one core
 * @param rssMb resident memory at the end of the window, in megabytes
 * @param wireKbPerSecond bytes sent and received, headers included, in kilobytes per second
 * @param storeReads reads, lists and watches of the store per second
 * @param storeWrites writes and lease renewals in the store per second
 */
record CostSample(
    String role,
    int workers,
    double cpuPercent,
    double rssMb,
    double wireKbPerSecond,
    double storeReads,
    double storeWrites) {}
