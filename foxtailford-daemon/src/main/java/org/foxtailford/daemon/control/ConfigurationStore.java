package org.foxtailford.daemon.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.platform.ConditionalWrites;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.selector.LabelSelector;
import org.foxtailford.core.settings.InvalidSettingsException;
import org.foxtailford.core.settings.SettingsFault;
import org.foxtailford.core.settings.SettingsReader;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ServiceDefinition;

/** Reads and replaces the configuration in the table. Thread-safe. */
public final class ConfigurationStore {

  private final TableService table;
  private final ConditionalWrites writes;

  public ConfigurationStore(TableService table) {
    this.table = Assert.notNull(table, "table");
    this.writes = new ConditionalWrites(table);
  }

  /**
   * A stored configuration.
   *
   * @param version version in the table; zero if there is none yet
   * @param document the document
   */
  public record StoredConfiguration(long version, ConfigurationDocument document) {}

  /** Reads the configuration. */
  public CompletableFuture<StoredConfiguration> read() {
    return table
        .read(ConfigurationPoller.CONFIGURATION_ROW)
        .thenApply(
            row ->
                row.map(ConfigurationStore::parse)
                    .orElse(
                        new StoredConfiguration(
                            TableService.ABSENT, ConfigurationDocument.getDefaultInstance())));
  }

  private static StoredConfiguration parse(TableRow row) {
    try {
      return new StoredConfiguration(row.version(), ConfigurationDocument.parseFrom(row.value()));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("configuration row cannot be read", e);
    }
  }

  /**
   * Replaces the configuration.
   *
   * @param text new document, JSON with comments
   * @param expectedVersion version that it was made from
   * @return the accepted version; fails with {@link ResultCode#CONFIGURATION_CONFLICT} if another
   *     version was accepted first, or {@link ResultCode#INVALID_CONFIGURATION} with every fault
   */
  public CompletableFuture<Long> apply(String text, long expectedVersion) {
    ConfigurationDocument document;
    try {
      document = check(text);
    } catch (ResultCodeException e) {
      return CompletableFuture.failedFuture(e);
    }
    return writes
        .write(ConfigurationPoller.CONFIGURATION_ROW, expectedVersion, document.toByteString())
        .thenApply(result -> acceptedVersion(result, expectedVersion));
  }

  private static long acceptedVersion(WriteResult result, long expectedVersion) {
    if (!result.applied()) {
      throw new ResultCodeException(
          ResultCode.CONFIGURATION_CONFLICT,
          "made from version "
              + expectedVersion
              + ", but version "
              + result.version()
              + " is in force");
    }
    return result.version();
  }

  private static ConfigurationDocument check(String text) {
    SettingsReader<ConfigurationDocument> reader =
        new SettingsReader<>(ConfigurationDocument::newBuilder, ResultCode.INVALID_CONFIGURATION);
    ConfigurationDocument document = reader.read(text);
    List<SettingsFault> faults = new ArrayList<>();
    for (int i = 0; i < document.getServicesCount(); i++) {
      checkSelector("$.services[" + i + "].selector", document.getServices(i), faults);
    }
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(ResultCode.INVALID_CONFIGURATION, faults);
    }
    return document;
  }

  private static void checkSelector(
      String path, ServiceDefinition service, List<SettingsFault> faults) {
    try {
      LabelSelector.parse(service.getSelector());
    } catch (IllegalArgumentException e) {
      faults.add(new SettingsFault(path, 1, String.valueOf(e.getMessage())));
    }
  }
}
