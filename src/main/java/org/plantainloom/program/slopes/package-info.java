/** Measures what each role costs, and fits slopes over sizes. */
package org.plantainloom.program.slopes;
