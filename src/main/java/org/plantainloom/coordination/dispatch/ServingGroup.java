package org.plantainloom.coordination.dispatch;

/**
 * The serving tasks of one image on one worker, and what the fill tasks beside them do to them.
 *
 * @param image the image
 * @param tasks number of its tasks on the worker
 * @param fillPressure pressure of all fill tasks there at full pace
 * @param limit pressure at which the tightest of the objectives is reached
 */
record ServingGroup(String image, int tasks, double fillPressure, double limit) {}
