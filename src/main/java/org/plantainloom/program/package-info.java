/** Code shared by all programs: command line, common settings, logging, startup and shutdown. */
package org.plantainloom.program;
