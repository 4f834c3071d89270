package org.plantainloom.protocol.message;

/**
 * What the stand-in's workers counted.
 *
 * @param requestsRun different requests that ran
 * @param requestsDoubled requests that ran more than once
 * @param taskStarts incarnations that started
 * @param tasksFinished different tasks that finished
 * @param tasksFinishedTwice tasks that finished more than once
 * @param taskOverlaps times that a task ran in two places at once
 * @param repeatedStarts times that the same incarnation started again
 * @param overcommits times that a worker held more than its capacity
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
