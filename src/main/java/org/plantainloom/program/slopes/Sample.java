package org.plantainloom.program.slopes;

/**
 * What one process cost over a window.
 *
 * @param role its role
 * @param workers size of the fleet, in workers
 * @param cpuPercent processor time in percent of one core
 * @param rssMb resident memory in megabytes
 * @param wireKbPerSecond bytes sent and received, headers included, in kilobytes a second
 * @param storeReads reads, lists and watches a second
 * @param storeWrites writes and lease renewals a second
 */
record Sample(
    String role,
    int workers,
    double cpuPercent,
    double rssMb,
    double wireKbPerSecond,
    double storeReads,
    double storeWrites) {}
