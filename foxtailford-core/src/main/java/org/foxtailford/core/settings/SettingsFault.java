package org.foxtailford.core.settings;

/**
 * One fault of a document.
 *
 * @param path path of the value, such as {@code $.platform.address.port}
 * @param line line of the document, counted from 1
 * @param message what is wrong and what is accepted
 */
public record SettingsFault(String path, int line, String message) {

  @Override
  public String toString() {
    return "line " + line + ": " + path + ": " + message;
  }
}
