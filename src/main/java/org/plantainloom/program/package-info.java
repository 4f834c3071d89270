/** Parts that all programs share: command line, settings, logging, start and stop. */
package org.plantainloom.program;
