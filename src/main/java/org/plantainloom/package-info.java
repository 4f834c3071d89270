/** Scheduler and gateway that let latency-critical services and batch work share machines. */
package org.plantainloom;
