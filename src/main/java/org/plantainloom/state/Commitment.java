package org.plantainloom.state;

/**
 * Resources of a worker reserved for one incarnation of a task.
 *
 * @param ref the incarnation
 * @param worker the worker
 * @param generation generation of the VM that the commitment is valid for
 * @param launch what the worker needs to know to run the task
 * @param checkpoint progress that the task resumes from, in milliseconds of work
 */
public record Commitment(
    TaskRef ref, WorkerId worker, long generation, TaskLaunch launch, long checkpoint) {

  /** Returns a copy with the given checkpoint. */
  public Commitment withCheckpoint(long newCheckpoint) {
    return new Commitment(ref, worker, generation, launch, newCheckpoint);
  }
}
