/**
 * A randomized soak: real node processes against a stand-in of the platform, with faults injected
 * from outside by proxies and signals, and the promises checked from what callers and workers see.
 */
package org.plantainloom.soak;
