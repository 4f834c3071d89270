package org.plantainloom.coordination.rack;

import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.WorkerId;

/**
 * The planner's wish that a rack commits and starts an incarnation.
 *
 * @param ref the incarnation
 * @param worker the worker chosen for it
 * @param launch what to run
 * @param checkpoint progress to resume from, in milliseconds of work
 */
public record Binding(TaskRef ref, WorkerId worker, TaskLaunch launch, long checkpoint) {}
