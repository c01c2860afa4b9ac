package org.foxtailford.core.configuration;

import org.foxtailford.core.settings.SettingsFault;

/**
 * One thing that the check of a document found.
 *
 * @param severity what it means for acceptance
 * @param path path of the value, such as {@code $.services[0].selector}
 * @param line line of the document, counted from 1
 * @param message what is wrong
 * @param hint what to do about it
 */
public record ConfigurationFinding(
    FindingSeverity severity, String path, int line, String message, String hint) {

  static ConfigurationFinding of(SettingsFault fault) {
    return new ConfigurationFinding(
        FindingSeverity.ERROR,
        fault.path(),
        fault.line(),
        fault.message(),
        "correct the value; docs/SETTINGS.md lists every field");
  }

  @Override
  public String toString() {
    return "line " + line + ": " + path + ": " + message + " (" + hint + ")";
  }
}
