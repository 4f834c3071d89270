/** Queueing, placement and preemption of tasks. */
package org.plantainloom.coordination.plan;
