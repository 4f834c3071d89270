package org.plantainloom.state;

/**
 * Resources of a worker set aside for one incarnation of a task.
 *
 * @param ref the incarnation
 * @param worker the worker
 * @param generation the generation of the VM that the commitment is for
 * @param launch what is run
 * @param checkpoint progress in milliseconds of work that the task resumes from
 */
public record Commitment(
    TaskRef ref, WorkerId worker, long generation, TaskLaunch launch, long checkpoint) {

  /** Returns a copy with the newer checkpoint. */
  public Commitment withCheckpoint(long newCheckpoint) {
    return new Commitment(ref, worker, generation, launch, newCheckpoint);
  }
}
