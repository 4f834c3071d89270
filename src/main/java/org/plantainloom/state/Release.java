package org.plantainloom.state;

/**
 * Persistent record that an incarnation will never run again.
 *
 * @param ref the incarnation
 * @param worker the worker it was bound to
 * @param outcome why it ended
 * @param checkpoint progress that the next incarnation resumes from, in milliseconds of work
 */
public record Release(TaskRef ref, WorkerId worker, ReleaseOutcome outcome, long checkpoint) {}
