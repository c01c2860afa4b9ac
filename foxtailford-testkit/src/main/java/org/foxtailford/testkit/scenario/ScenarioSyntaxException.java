package org.foxtailford.testkit.scenario;

/** A scenario file that cannot be read. */
public final class ScenarioSyntaxException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int line;

  public ScenarioSyntaxException(int line, String message) {
    super("line " + line + ": " + message);
    this.line = line;
  }

  /** Returns the line, counted from 1. */
  public int line() {
    return line;
  }
}
