/**
 * Decisions of the one scheduler that owns the workers: which task starts where and when, what a
 * worker's report means, and what has to be kept before it is acknowledged.
 */
package org.plantainloom.coordination.dispatch;
