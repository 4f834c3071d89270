/**
 * An in-memory stand-in of the platform and its workers for demos, tests and benchmarks; never
 * deployed.
 */
package org.plantainloom.program.standin;
