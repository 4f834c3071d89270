package org.plantainloom.state.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Occurrences of a job that follow one another and whose tasks are all done.
 *
 * @param first the first one, from 0
 * @param last the last one
 */
public record DoneRange(int first, int last) {
  private static final Pattern FORM = Pattern.compile("(0|[1-9]\\d{0,8})-(0|[1-9]\\d{0,8})");

  /** Returns the ranges of the bits that are set. */
  public static List<DoneRange> of(BitSet occurrences) {
    List<DoneRange> ranges = new ArrayList<>();
    int first = occurrences.nextSetBit(0);
    while (first >= 0) {
      int end = occurrences.nextClearBit(first);
      ranges.add(new DoneRange(first, end - 1));
      first = occurrences.nextSetBit(end);
    }
    return ranges;
  }

  /** Parses the form {@code first-last}; empty if the text differs. */
  public static Optional<DoneRange> parse(String text) {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int first = Integer.parseInt(matcher.group(1));
    int last = Integer.parseInt(matcher.group(2));
    return first <= last ? Optional.of(new DoneRange(first, last)) : Optional.empty();
  }

  @Override
  public String toString() {
    return first + "-" + last;
  }
}
