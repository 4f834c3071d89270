/** Single-threaded event loops that receive tasks through bounded ring buffers. */
package org.plantainloom.transport.duty;
