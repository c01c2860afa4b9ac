package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.List;

/** What happened in one schedule, in order. */
final class Trace {

  private final boolean recording;
  private final List<String> lines = new ArrayList<>();

  /**
   * Creates a trace.
   *
   * @param recording whether lines are kept
   */
  Trace(boolean recording) {
    this.recording = recording;
  }

  boolean recording() {
    return recording;
  }

  /** Adds a line with the true time of the event. */
  void add(long atMs, String format, Object... arguments) {
    if (recording) {
      lines.add(String.format("%6d ms  %s", atMs, String.format(format, arguments)));
    }
  }

  List<String> lines() {
    return List.copyOf(lines);
  }
}
