/** Typed messages between processes, their JSON, and the meaning of each answer. */
package org.plantainloom.protocol;
