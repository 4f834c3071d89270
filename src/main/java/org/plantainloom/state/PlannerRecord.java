package org.plantainloom.state;

/**
 * Who plans, and under which epoch.
 *
 * @param owner the planning scheduler
 * @param epoch number that grows with each change of planner
 */
public record PlannerRecord(MemberId owner, long epoch) {}
