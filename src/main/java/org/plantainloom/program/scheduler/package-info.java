/** The program that places tasks and serves the administration API. */
package org.plantainloom.program.scheduler;
