package org.foxtailford.core.configuration;

import org.foxtailford.core.settings.SettingsFault;

/**
 * A problem that the check of a configuration document reports.
 *
 * @param severity effect on the acceptance of the document
 * @param path path of the value in question, such as {@code $.services[0].selector}
 * @param line line of the document, starting at 1
 * @param message description of the problem
 * @param hint how to correct the document
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
