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

/** Reads the settings file again after a signal or a silent change. */
final class SettingsWatcher {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time between two looks at the file, in milliseconds. */
  private static final long LOOK_MS = 2000;

  private static final int STACK_BYTES = 256 << 10;

  private final Path file;
  private final Consumer<EntrySettings> receiver;
  private byte[] known = new byte[0];

  SettingsWatcher(Path file, Consumer<EntrySettings> receiver) {
    this.file = Assert.notNull(file, "file");
    this.receiver = Assert.notNull(receiver, "receiver");
  }

  void start() {
    known = read();
    Thread thread = new Thread(null, this::run, "settings-watch", STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      while (true) {
        Thread.sleep(LOOK_MS);
        readAgain("change");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads the file and passes it on if it changed and has no faults. */
  synchronized void readAgain(String reason) {
    byte[] present = read();
    if (present.length == 0 || Arrays.equals(present, known)) {
      return;
    }
    known = present;
    try {
      receiver.accept(EntrySettingsReader.read(present));
    } catch (InvalidSettingsException e) {
      logger
          .atWarning()
          .with(EventFields.REASON, reason + ": " + e.getMessage())
          .log("settings with faults, the old ones stay");
    }
  }

  private byte[] read() {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("settings can't be read, the old ones stay");
      return new byte[0];
    }
  }
}
