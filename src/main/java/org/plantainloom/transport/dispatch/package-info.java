/**
 * The nodes of the cluster: every node accepts jobs, and one node at a time owns the workers and
 * runs the dispatcher.
 */
package org.plantainloom.transport.dispatch;
