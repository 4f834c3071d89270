package org.plantainloom.coordination.rack;

import org.plantainloom.state.TaskLaunch;
import org.plantainloom.state.TaskRef;
import org.plantainloom.state.WorkerId;

/**
 * The planner's request that a rack commit and start an incarnation of a task.
 *
 * @param ref the incarnation
 * @param worker the worker it is placed on
 * @param launch how to run it
 * @param checkpoint progress to resume from, in milliseconds of completed work
 */
public record Binding(TaskRef ref, WorkerId worker, TaskLaunch launch, long checkpoint) {}
