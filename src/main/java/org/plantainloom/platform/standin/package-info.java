/** Simulation of the users' platform for tests, the class archive and runs on one machine. */
package org.plantainloom.platform.standin;
