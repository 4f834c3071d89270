/** The scheduler program, which places tasks and serves the administration API. */
package org.plantainloom.program.scheduler;
