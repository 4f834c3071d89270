/** Implementations of the ports to the platform: store, VM list and workers. */
package org.plantainloom.transport.platform;
