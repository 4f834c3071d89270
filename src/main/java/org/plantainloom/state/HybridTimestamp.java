package org.plantainloom.state;

/**
 * Timestamp of a hybrid logical clock; orders causally related events of different processes.
 *
 * @param wallMs highest wall clock time seen, in milliseconds since the epoch
 * @param counter orders events with the same wall clock time
 */
public record HybridTimestamp(long wallMs, int counter) implements Comparable<HybridTimestamp> {
  /** Parses the form {@code wall.counter}; an invalid text gives the earliest timestamp. */
  public static HybridTimestamp parse(String text) {
    int dot = text == null ? -1 : text.indexOf('.');
    if (dot < 0) {
      return new HybridTimestamp(0, 0);
    }
    try {
      return new HybridTimestamp(
          Long.parseLong(text.substring(0, dot)), Integer.parseInt(text.substring(dot + 1)));
    } catch (NumberFormatException e) {
      return new HybridTimestamp(0, 0);
    }
  }

  @Override
  public int compareTo(HybridTimestamp other) {
    int byWall = Long.compare(wallMs, other.wallMs);
    return byWall != 0 ? byWall : Integer.compare(counter, other.counter);
  }

  @Override
  public String toString() {
    return wallMs + "." + counter;
  }
}
