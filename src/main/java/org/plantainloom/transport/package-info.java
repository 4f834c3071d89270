/** Servers, clients, adapters of the ports, and the threads that drive the state machines. */
package org.plantainloom.transport;
