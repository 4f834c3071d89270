/**
 * Decisions of the scheduler process that currently owns the workers: which task starts where and
 * when, how a worker's report changes the known state, and what has to be persisted before it is
 * acknowledged.
 *
 * <p>Ownership passes from one process to the next in numbered terms. Workers keep running across
 * such a takeover: the new owner polls them, adopts their runs and continues from there. A poll
 * renews a worker's lease and returns its runs; a worker stops its runs when the lease expires.
 *
 * <p>Serving tasks run until their job is cancelled and have a tail-latency objective. Fill tasks
 * use processor time that serving tasks reserve but leave idle.
 */
package org.plantainloom.coordination.dispatch;
