package org.plantainloom.state;

/**
 * The current planner.
 *
 * @param owner the scheduler that holds the planner role
 * @param epoch increases with each change of planner
 */
public record PlannerRecord(MemberId owner, long epoch) {}
