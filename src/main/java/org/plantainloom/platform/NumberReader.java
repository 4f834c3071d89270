package org.plantainloom.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads the numbers of one message and records whether any of them is invalid.
 *
 * <p>Jackson's own conversions cut a number off or replace it by 0 if it does not fit, which yields
 * a plausible value that nobody sent.
 */
final class NumberReader {
  /**
   * Largest number that is read. All JSON implementations represent it exactly, and sums of a few
   * such numbers do not overflow.
   */
  static final long MAX_NUMBER = (1L << 53) - 1;

  private boolean valid = true;

  /** Reads a number from 0 without a fraction; a missing one is 0. */
  long wholeNumber(JsonNode node) {
    return read(node, MAX_NUMBER, node.canConvertToExactIntegral());
  }

  /** Reads a number from 0 without a fraction that fits into an {@code int}. */
  int wholeInt(JsonNode node) {
    return (int) read(node, Integer.MAX_VALUE, node.canConvertToExactIntegral());
  }

  /** Reads a time or duration from 0, without its fraction; a missing one is 0. */
  long time(JsonNode node) {
    return read(node, MAX_NUMBER, node.isNumber());
  }

  private long read(JsonNode node, long max, boolean rightType) {
    if (node.isMissingNode()) {
      return 0;
    }
    double value = node.asDouble(-1);
    if (rightType && value >= 0 && value <= max) {
      return node.asLong();
    }
    valid = false;
    return 0;
  }

  /** Returns whether all numbers read so far are valid; the values of others must not be used. */
  boolean allValid() {
    return valid;
  }
}
