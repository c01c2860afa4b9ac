package org.foxtailford.cli;

import org.foxtailford.core.result.ResultCode;

/** Exit statuses of {@code foxtailctl}; {@code docs/RESULT_CODES.md} lists the same. */
public enum ExitStatus {
  DONE(0, "The command did what it says."),
  REFUSED(1, "The change was refused: the document has faults, or it needs --force."),
  CONFLICT(2, "Another operator's version was accepted first; nothing was changed."),
  UNKNOWN_OUTCOME(3, "Whether the change was accepted is not known; look at the history."),
  NOT_FOUND(4, "No such service, kind, VM, data centre, version or file."),
  USAGE(64, "The command line is not valid."),
  UNAVAILABLE(69, "No operators' interface answered, or the platform does not answer it."),
  INTERNAL(70, "The client or the operators' interface failed."),
  NOT_YET(75, "The time allowed for waiting passed before everything was done.");

  private final int number;
  private final String description;

  ExitStatus(int number, String description) {
    this.number = number;
    this.description = description;
  }

  public int number() {
    return number;
  }

  public String description() {
    return description;
  }

  /** Returns the status that stands for a result of the operators' interface. */
  static ExitStatus of(ResultCode code) {
    switch (code) {
      case OK:
        return DONE;
      case INVALID_CONFIGURATION:
        return REFUSED;
      case CONFIGURATION_CONFLICT:
        return CONFLICT;
      case ACCEPTANCE_UNKNOWN:
        return UNKNOWN_OUTCOME;
      case UNKNOWN_RESOURCE:
      case UNKNOWN_SERVICE:
      case UNKNOWN_KIND:
        return NOT_FOUND;
      case CERTIFICATE_REQUIRED:
      case USAGE:
      case INVALID_HEADER:
        return USAGE;
      case PLATFORM_UNAVAILABLE:
      case OPERATORS_UNREACHABLE:
        return UNAVAILABLE;
      default:
        return INTERNAL;
    }
  }
}
