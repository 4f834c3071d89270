package org.plantainloom.state;

/**
 * Persisted statement that an incarnation will never run again.
 *
 * @param ref the incarnation
 * @param worker the worker it was bound to
 * @param outcome why it ended
 * @param checkpoint progress in milliseconds of work that the next incarnation resumes from
 */
public record Release(TaskRef ref, WorkerId worker, ReleaseOutcome outcome, long checkpoint) {}
