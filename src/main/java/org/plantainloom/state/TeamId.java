package org.plantainloom.state;

/**
 * Name of a team that owns services and jobs.
 *
 * @param value the name; letters, digits, dot, dash and underscore
 */
public record TeamId(String value) implements Comparable<TeamId> {

  /** Creates the name after checking its characters. */
  public TeamId {
    Names.requireName(value, "teamId");
  }

  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
