/** JMH benchmarks of single scheduling decisions; run by bin/benchmark, not by CI. */
package org.plantainloom.benchmark;
