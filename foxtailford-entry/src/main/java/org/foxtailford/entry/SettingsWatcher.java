package org.foxtailford.entry;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.function.Consumer;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.settings.InvalidSettingsException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.settings.EntrySettings;
import org.foxtailford.entry.settings.EntrySettingsReader;

/** Reloads the settings file after a signal or when its content has changed. */
final class SettingsWatcher {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval at which the file is read, in milliseconds. */
  private static final long POLL_INTERVAL_MS = 2000;

  private static final int STACK_BYTES = 256 << 10;

  private final Path file;
  private final Consumer<EntrySettings> listener;
  private byte[] lastRead;

  /**
   * Creates a watcher that is not started.
   *
   * @param content content of the file from which the settings in force were read
   */
  SettingsWatcher(Path file, byte[] content, Consumer<EntrySettings> listener) {
    this.file = Assert.notNull(file, "file");
    this.lastRead = content.clone();
    this.listener = Assert.notNull(listener, "listener");
  }

  void start() {
    Thread thread = new Thread(null, this::run, "settings-watch", STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      while (true) {
        Thread.sleep(POLL_INTERVAL_MS);
        reload("change");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Reads the file and passes the settings to the listener if they have changed and are valid.
   *
   * @param reason cause of the reload, for the log
   */
  synchronized void reload(String reason) {
    byte[] content = read();
    if (content.length == 0 || Arrays.equals(content, lastRead)) {
      return;
    }
    lastRead = content;
    try {
      listener.accept(EntrySettingsReader.read(content));
    } catch (InvalidSettingsException e) {
      logger
          .atWarning()
          .with(EventFields.REASON, reason + ": " + e.getMessage())
          .log("invalid settings ignored");
    }
  }

  private byte[] read() {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("settings unreadable, current ones kept");
      return new byte[0];
    }
  }
}
