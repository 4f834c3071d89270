/** Immutable records with pure functions on them, and the ports to the platform. */
package org.plantainloom.state;
