/** Duties of a scheduler process. */
package org.plantainloom.transport.node;
