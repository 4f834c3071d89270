/**
 * A node of the system: it accepts jobs on behalf of all, and one node at a time owns the workers
 * and runs the dispatcher.
 */
package org.plantainloom.transport.dispatch;
