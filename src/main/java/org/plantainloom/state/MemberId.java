package org.plantainloom.state;

/**
 * Name of a process of the system, unique while the process lives.
 *
 * @param value the name; letters, digits, dot, dash and underscore
 */
public record MemberId(String value) implements Comparable<MemberId> {

  /** Creates the name after checking its characters. */
  public MemberId {
    Names.requireName(value, "memberId");
  }

  @Override
  public int compareTo(MemberId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
