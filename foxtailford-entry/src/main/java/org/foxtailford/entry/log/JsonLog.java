package org.foxtailford.entry.log;

import com.google.common.flogger.backend.LoggerBackend;
import com.google.common.flogger.backend.system.BackendFactory;
import java.util.logging.Level;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.util.Assert;

/** The log of this process; found by Flogger as a service. */
public final class JsonLog extends BackendFactory {

  /** Lines that may wait; about a second of a busy entry VM. */
  private static final int MOST_LINES = 4096;

  /** Bytes that may wait. */
  private static final int MOST_BYTES = 1 << 20;

  /**
   * Routine lines in a second: about two for each of the 2,000 requests that an entry VM has of 8.5
   * million a second would be too many, so a part of the stories is kept.
   */
  private static final int ROUTINE_PER_SECOND = 1000;

  private static final LineQueue QUEUE =
      new LineQueue(MOST_LINES, MOST_BYTES, ROUTINE_PER_SECOND, new SystemMillisClock());

  private static volatile String process = "";
  private static volatile Level level = Level.INFO;

  /** Sets the name of the process that each line bears, and the least level. */
  public static void configure(String newProcess, Level newLevel) {
    process = Assert.notNull(newProcess, "newProcess");
    level = Assert.notNull(newLevel, "newLevel");
  }

  /** Returns the lines that wait. */
  public static LineQueue lines() {
    return QUEUE;
  }

  @Override
  public LoggerBackend create(String loggingClassName) {
    return new JsonLogBackend(loggingClassName, this);
  }

  static String process() {
    return process;
  }

  Level level() {
    return level;
  }

  LineQueue queue() {
    return QUEUE;
  }
}
