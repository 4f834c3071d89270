/** Compares placement policies by running the planner on a simulated fleet and workload. */
package org.plantainloom.program.experiment;
