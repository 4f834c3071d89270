/** The {@code plantainloom} command line for operators. */
package org.plantainloom.program.operator;
