package org.plantainloom.protocol.document;

/**
 * A problem in a document.
 *
 * @param file name of the document
 * @param line number of the line, from 1
 * @param path path of the value, such as {@code services[0].name}
 * @param expected what was expected
 * @param found what was found instead
 */
public record Problem(String file, int line, String path, String expected, String found) {
  @Override
  public String toString() {
    return file + ":" + line + ": " + path + ": expected " + expected + " but found " + found;
  }
}
