package org.foxtailford.core.settings;

/**
 * A violation of the schema or another rule by a value of a document.
 *
 * @param path path of the value, such as {@code $.platform.address.port}
 * @param line line number in the document, starting at 1
 * @param message description of the fault and of accepted values
 */
public record SettingsFault(String path, int line, String message) {

  @Override
  public String toString() {
    return "line " + line + ": " + path + ": " + message;
  }
}
