/** Load generator for demos and benchmarks. */
package org.plantainloom.program.load;
