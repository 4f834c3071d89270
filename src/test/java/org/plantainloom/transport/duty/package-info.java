/** Tests of the event loop. */
package org.plantainloom.transport.duty;
