package org.foxtailford.entry.log;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Log of the entry VMs that run in this process, kept in {@code target/entry-vms.log}, so that a
 * test that fails once can be traced. It takes all lines; tests that check lines ask it for them.
 */
public final class KeptLog {

  private static final String FILE = "target/entry-vms.log";
  private static final int MAX_LINES = 10_000;
  private static final int INTERVAL_MS = 20;
  private static final Deque<String> LINES = new ArrayDeque<>();
  private static final OutputStream OUT = open();

  private KeptLog() {}

  private static OutputStream open() {
    try {
      OutputStream out = new FileOutputStream(FILE, true);
      Executors.newSingleThreadScheduledExecutor(KeptLog::newDaemon)
          .scheduleWithFixedDelay(KeptLog::drain, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
      return out;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Thread newDaemon(Runnable task) {
    Thread thread = new Thread(task, "kept log");
    thread.setDaemon(true);
    return thread;
  }

  /** Begins to keep the log, unless it has begun. */
  public static void start() {
    drain();
  }

  private static synchronized void drain() {
    try {
      Optional<byte[]> line = JsonLog.lines().poll();
      while (line.isPresent()) {
        OUT.write(line.get());
        LINES.add(new String(line.get(), StandardCharsets.UTF_8));
        if (LINES.size() > MAX_LINES) {
          LINES.remove();
        }
        line = JsonLog.lines().poll();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the last lines that were logged since the previous call. */
  public static synchronized List<String> take() {
    drain();
    List<String> lines = List.copyOf(LINES);
    LINES.clear();
    return lines;
  }
}
