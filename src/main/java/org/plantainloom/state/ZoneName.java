package org.plantainloom.state;

/**
 * Name of an availability zone.
 *
 * @param value the name; letters, digits, dot, dash and underscore
 */
public record ZoneName(String value) implements Comparable<ZoneName> {

  /** Creates the name after checking its characters. */
  public ZoneName {
    Names.requireName(value, "zoneName");
  }

  @Override
  public int compareTo(ZoneName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
