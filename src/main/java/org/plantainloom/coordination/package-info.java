/** Decisions as deterministic state machines without I/O, threads or wall clock. */
package org.plantainloom.coordination;
