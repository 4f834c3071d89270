package org.plantainloom.support;

import java.util.List;
import java.util.Random;

/** Damages JSON texts in reproducible ways: cuts, replaced values, repeated and swapped parts. */
public final class MessageMutator {
  private static final List<String> VALUES =
      List.of(
          "null",
          "true",
          "-1",
          "0",
          "1e308",
          "-9223372036854775808",
          "9223372036854775807",
          "2147483647",
          "0.5",
          "\"\"",
          "\"x\"",
          "[]",
          "{}",
          "[[[]]]",
          "[null]",
          "{\"a\":{}}");

  private static final int MAX_CHANGES = 3;

  private final Random random;

  /** Creates a mutator; equal seeds give equal changes. */
  public MessageMutator(long seed) {
    this.random = new Random(seed);
  }

  /** Returns the text with one to three changes. */
  public String mutate(String text) {
    String mutated = text;
    for (int changes = 1 + random.nextInt(MAX_CHANGES); changes > 0; changes--) {
      mutated = change(mutated);
    }
    return mutated;
  }

  private String change(String text) {
    if (text.isEmpty()) {
      return pick();
    }
    int position = random.nextInt(text.length());
    return switch (random.nextInt(6)) {
      case 0 -> text.substring(0, position);
      case 1 -> text.substring(0, position) + (char) random.nextInt(256) + text.substring(position);
      case 2 -> text.substring(0, position) + text.substring(random.nextInt(text.length()));
      default -> replaceValue(text, position);
    };
  }

  /** Replaces the value after the next colon or comma by one of another type or size. */
  private String replaceValue(String text, int position) {
    int start = position;
    while (start < text.length() && ":,[".indexOf(text.charAt(start)) < 0) {
      start++;
    }
    int end = Math.min(text.length(), start + 1);
    while (end < text.length() && ",]}".indexOf(text.charAt(end)) < 0) {
      end++;
    }
    return text.substring(0, Math.min(text.length(), start + 1)) + pick() + text.substring(end);
  }

  private String pick() {
    return VALUES.get(random.nextInt(VALUES.size()));
  }
}
