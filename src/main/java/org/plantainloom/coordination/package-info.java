/** Decision logic as deterministic state machines without I/O, threads or a wall clock. */
package org.plantainloom.coordination;
