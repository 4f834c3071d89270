package org.plantainloom.state;

/**
 * Name of a worker, unique in the fleet.
 *
 * @param value the name; letters, digits, dot, dash and underscore
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

  /** Creates the name after checking its characters. */
  public WorkerId {
    Names.requireName(value, "workerId");
  }

  @Override
  public int compareTo(WorkerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
