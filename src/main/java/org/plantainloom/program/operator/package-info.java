/** The operators' command line. */
package org.plantainloom.program.operator;
