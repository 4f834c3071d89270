/** Experiments on the decisions with a model of the fleet and its load. */
package org.plantainloom.program.experiment;
