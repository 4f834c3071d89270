/** Shared test fixtures: builders, fakes of external systems and a simulation in virtual time. */
package org.plantainloom.support;
