package org.foxtailford.entry.log;

import com.google.common.flogger.backend.LoggerBackend;
import com.google.common.flogger.backend.system.BackendFactory;
import java.util.logging.Level;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.util.Assert;

/** Flogger backend factory for the log of this process; Flogger loads it as a service. */
public final class JsonLog extends BackendFactory {

  /** Maximum number of queued lines; about one second of a busy entry VM. */
  private static final int MAX_LINES = 4096;

  /** Maximum size of the queued lines, in bytes. */
  private static final int MAX_BYTES = 1 << 20;

  /**
   * Maximum routine lines per second. An entry VM handles 2,000 of 8.5 million requests per second,
   * with about two lines each; that is too many to keep, so only a sample is written.
   */
  private static final int ROUTINE_LINES_PER_SECOND = 1000;

  private static final LineQueue QUEUE =
      new LineQueue(MAX_LINES, MAX_BYTES, ROUTINE_LINES_PER_SECOND, new SystemMillisClock());

  private static volatile String process = "";
  private static volatile Level level = Level.INFO;

  /** Sets the process name that each line contains, and the minimum level. */
  public static void configure(String newProcess, Level newLevel) {
    process = Assert.notNull(newProcess, "newProcess");
    level = Assert.notNull(newLevel, "newLevel");
  }

  /** Returns the queue of the lines that are not yet written. */
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
