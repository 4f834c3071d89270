/** JMH benchmarks of single decisions; run by bin/benchmark, not by CI. */
package org.plantainloom.benchmark;
