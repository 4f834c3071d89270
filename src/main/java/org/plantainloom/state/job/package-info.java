/** Jobs that consist of phases, the workers that run their tasks, and the port to the workers. */
package org.plantainloom.state.job;
