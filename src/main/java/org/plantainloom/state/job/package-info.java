/** Jobs made of phases, the workers that run their tasks, and the port to those workers. */
package org.plantainloom.state.job;
