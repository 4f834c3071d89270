package org.plantainloom.support;

import java.util.List;

/** Entries that no reader can use, whatever record it expects. */
public final class DamagedEntries {
  /** Deeper than any parser with a recursion per level could read. */
  private static final int DEPTH = 100_000;

  /** Entry that is nested very deeply. */
  public static final String DEEPLY_NESTED = "[".repeat(DEPTH) + "]".repeat(DEPTH);

  /** Entries that are no object with the fields of a record. */
  public static final List<String> ALL =
      List.of(
          "",
          "null",
          "{}",
          "[]",
          "7",
          "\"text\"",
          "{\"a\":",
          "\u0000\ufffd\u0007",
          DEEPLY_NESTED,
          "{\"unknown\":" + DEEPLY_NESTED + "}");

  private DamagedEntries() {}
}
