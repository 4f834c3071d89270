/** Adapters of the platform's ports: store, VM list and workers. */
package org.plantainloom.transport.platform;
