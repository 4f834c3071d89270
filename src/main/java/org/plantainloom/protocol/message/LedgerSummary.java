package org.plantainloom.protocol.message;

/**
 * Counts of what ran on the workers of the simulated platform.
 *
 * @param requestsRun number of distinct requests that ran
 * @param requestsDoubled number of requests that ran more than once
 * @param taskStarts number of incarnations that started
 * @param tasksFinished number of distinct tasks that finished
 * @param tasksFinishedTwice number of tasks that finished more than once
 * @param taskOverlaps how often two incarnations of a task ran at the same time
 * @param repeatedStarts how often an incarnation was started again
 * @param overcommits how often the tasks on a worker exceeded its capacity
 * @param workMs batch work done, in milliseconds
 */
public record LedgerSummary(
    int requestsRun,
    int requestsDoubled,
    int taskStarts,
    int tasksFinished,
    int tasksFinishedTwice,
    int taskOverlaps,
    int repeatedStarts,
    int overcommits,
    long workMs) {}
