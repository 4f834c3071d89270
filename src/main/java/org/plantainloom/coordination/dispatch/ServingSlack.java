package org.plantainloom.coordination.dispatch;

/**
 * The serving tasks of one phase on a worker, as seen by the placement of fill tasks.
 *
 * @param image what is known about their image
 * @param tasks number of the tasks
 * @param remaining slack that further fill tasks may take from each; negative if there is none
 */
record ServingSlack(ServingImage image, int tasks, double remaining) {}
