/**
 * Randomized soak test: node processes run against the simulated platform while proxies and signals
 * inject faults. The invariants are checked from what callers and workers observe.
 */
package org.plantainloom.soak;
