package org.plantainloom.state;

/**
 * Identifies one incarnation of a task. At most one incarnation of a task runs at a time.
 *
 * @param task the task
 * @param incarnation number of the incarnation, from 1
 */
public record TaskRef(TaskId task, int incarnation) implements Comparable<TaskRef> {
  @Override
  public int compareTo(TaskRef other) {
    int byTask = task.compareTo(other.task);
    return byTask != 0 ? byTask : Integer.compare(incarnation, other.incarnation);
  }

  @Override
  public String toString() {
    return task + "#" + incarnation;
  }
}
