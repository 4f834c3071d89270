package org.plantainloom.state;

import java.util.List;

/**
 * A team's tasks and the progress of its jobs; only the planner writes it.
 *
 * @param team the team
 * @param plannerEpoch epoch of the planner that wrote it last
 * @param tasks tasks that still have something to do
 * @param jobs progress of jobs that were created
 */
public record TasksDocument(
    TeamId team, long plannerEpoch, List<TaskRecord> tasks, List<BatchJobProgress> jobs) {
  /** Creates the document with copies of its lists. */
  public TasksDocument {
    tasks = List.copyOf(tasks);
    jobs = List.copyOf(jobs);
  }

  /** Returns the document of a team that has no tasks yet. */
  public static TasksDocument empty(TeamId team) {
    return new TasksDocument(team, 0, List.of(), List.of());
  }
}
