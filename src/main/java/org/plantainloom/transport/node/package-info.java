/** The components of a scheduler process and its API for other processes. */
package org.plantainloom.transport.node;
