package org.plantainloom.state;

/**
 * Name of a rack of workers.
 *
 * @param value the name; letters, digits, dot, dash and underscore
 */
public record RackId(String value) implements Comparable<RackId> {

  /** Creates the name after checking its characters. */
  public RackId {
    Names.requireName(value, "rackId");
  }

  @Override
  public int compareTo(RackId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
