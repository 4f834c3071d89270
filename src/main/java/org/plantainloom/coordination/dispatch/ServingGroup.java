package org.plantainloom.coordination.dispatch;

/**
 * The serving tasks of one image on one worker, and the pressure of the fill tasks on them.
 *
 * @param image the image
 * @param tasks number of its tasks on the worker
 * @param fillPressure pressure of all fill tasks on the worker without CPU limits
 * @param limit largest pressure that keeps the strictest of the objectives, less a headroom
 */
record ServingGroup(String image, int tasks, double fillPressure, double limit) {}
