package org.plantainloom.state;

import java.util.regex.Pattern;

/** Validates names that are used in store keys and URL paths. */
public final class Names {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

  private Names() {}

  /**
   * Returns the name if it is valid.
   *
   * @param value the name to check
   * @param argument name of the argument, for the exception message
   * @throws IllegalArgumentException if the name is empty, too long or has other characters
   */
  public static String requireName(String value, String argument) {
    if (!isName(value)) {
      throw new IllegalArgumentException(
          argument
              + ": expected 1 to 63 letters, digits, dots, dashes or underscores but found \""
              + value
              + '"');
    }
    return value;
  }

  /** Returns whether the text is a valid name. */
  public static boolean isName(String value) {
    return value != null && NAME.matcher(value).matches();
  }
}
