/** Platform and workers in the small, for demos, tests and benchmarks; never deployed. */
package org.plantainloom.program.standin;
