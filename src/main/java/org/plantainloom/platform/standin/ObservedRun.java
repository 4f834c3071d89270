package org.plantainloom.platform.standin;

/**
 * One run of a task, as a simulated worker saw it.
 *
 * @param worker the worker's id
 * @param zone the worker's availability zone
 * @param bornMs when the worker started, which tells apart its lives under the same id
 * @param fencingToken fencing token of the start command
 * @param delayed whether the worker left the start command unanswered and carried it out later
 */
public record ObservedRun(
    String task,
    long number,
    String worker,
    String zone,
    long bornMs,
    long fencingToken,
    boolean delayed) {}
