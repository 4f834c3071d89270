package org.plantainloom.protocol.document;

/**
 * One mistake in a document.
 *
 * @param file the document's name
 * @param line where it is, from 1
 * @param path the value's path, such as {@code services[0].name}
 * @param expected what would be right
 * @param found what is there
 */
public record Problem(String file, int line, String path, String expected, String found) {
  @Override
  public String toString() {
    return file + ":" + line + ": " + path + ": expected " + expected + " but found " + found;
  }
}
