package org.plantainloom.coordination.dispatch;

import org.plantainloom.state.job.JobStatus;

/**
 * A finished job whose end is stored and of which nothing runs.
 *
 * @param finishedMs when it finished, or when this owner learned of that
 */
record FinishedJob(JobStatus status, long finishedMs) {}
