package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.foxtailford.entry.settings.EntrySettings;
import org.testng.annotations.Test;

public class SettingsWatcherTests {

  private static final String SETTINGS =
      """
      {"node":"n","dataCentre":"d","processorShare":0.6,"linkMbps":100,"firstStart":false,
      "listen":{"callers":"127.0.0.1:1",
      "readiness":"127.0.0.1:2","peers":"127.0.0.1:3","metricsPort":9464},
      "seeds":["10.0.0.1:7"],"store":{"address":"10.0.0.2:8"},"bounds":{"retryRatio":0.2,
      "retrySlack":60,"retryWindow":"10s","coldRatio":1.5,"coldSlack":5,"maxHold":"10000ms",
      "drain":"2s","stop":"6s"},"later":1}""";

  /** Guards against a change that is lost between the reading of the file and the watch. */
  @Test
  public void changeSinceTheSettingsInForceWereReadIsTaken() throws IOException {
    byte[] inForce = SETTINGS.getBytes(StandardCharsets.UTF_8);
    Path file = Files.createTempFile("settings", ".json");
    try {
      List<EntrySettings> taken = new ArrayList<>();
      SettingsWatcher watcher = new SettingsWatcher(file, inForce, taken::add);
      Files.write(file, inForce);
      watcher.reload("test");
      assertThat(taken).isEmpty();
      Files.writeString(file, SETTINGS + " ");
      watcher.start();
      watcher.reload("test");
      assertThat(taken).hasSize(1);
    } finally {
      Files.delete(file);
    }
  }
}
