/** The gateway program, which routes the requests of callers to service replicas. */
package org.plantainloom.program.gateway;
