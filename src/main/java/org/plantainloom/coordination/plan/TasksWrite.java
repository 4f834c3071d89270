package org.plantainloom.coordination.plan;

import org.plantainloom.state.TasksDocument;
import org.plantainloom.state.TeamId;

/**
 * A team's tasks document to be written by compare-and-swap.
 *
 * @param team the team
 * @param expectedRevision the revision that it replaces
 * @param next the new document
 */
public record TasksWrite(TeamId team, long expectedRevision, TasksDocument next) {}
