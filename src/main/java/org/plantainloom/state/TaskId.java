package org.plantainloom.state;

import java.util.Comparator;

/**
 * Identifies a task: a replica of a service or one part of a batch job.
 *
 * @param team the owning team
 * @param workload the service or job within the team
 * @param index number of the replica or part, from 0
 */
public record TaskId(TeamId team, String workload, int index) implements Comparable<TaskId> {
  private static final Comparator<TaskId> ORDER =
      Comparator.comparing(TaskId::team)
          .thenComparing(TaskId::workload)
          .thenComparingInt(TaskId::index);

  /** Creates the id after checking its parts. */
  public TaskId {
    Names.requireName(workload, "workload");
    if (index < 0) {
      throw new IllegalArgumentException("index: expected 0 or more but found " + index);
    }
  }

  /**
   * Parses the form {@code team/workload/index}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static TaskId parse(String text) {
    String[] parts = text.split("/", -1);
    if (parts.length != 3) {
      throw new IllegalArgumentException("task: expected team/workload/index but found " + text);
    }
    return new TaskId(new TeamId(parts[0]), parts[1], Integer.parseInt(parts[2]));
  }

  @Override
  public int compareTo(TaskId other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return team + "/" + workload + "/" + index;
  }
}
