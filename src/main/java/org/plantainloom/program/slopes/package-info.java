/** Measures the costs of each process role and fits them as a linear function of the fleet size. */
package org.plantainloom.program.slopes;
