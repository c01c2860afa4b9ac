package org.foxtailford.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailford.core.configuration.ActiveConfiguration;
import org.foxtailford.core.configuration.ConfigurationRecords;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.VmListSource;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.VmList;
import org.jspecify.annotations.Nullable;

/**
 * Reads the configuration and the VM list from the platform.
 *
 * <p>Each is applied as soon as it is read, so that a failure to read one does not delay the other.
 */
public final class ConfigurationPoller {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TableService table;
  private final VmListSource vmList;
  private final ActiveConfiguration activeConfiguration;
  private final Consumer<VmList> vmListener;
  private final RouterMetrics metrics;

  /**
   * Creates a poller.
   *
   * @param table the table service
   * @param vmList source of the VM list
   * @param activeConfiguration updated with each configuration and VM list
   * @param vmListener notified of each VM list before it is applied
   * @param metrics counts failed polls, and accepted and unreadable configurations
   */
  public ConfigurationPoller(
      TableService table,
      VmListSource vmList,
      ActiveConfiguration activeConfiguration,
      Consumer<VmList> vmListener,
      RouterMetrics metrics) {
    this.table = Assert.notNull(table, "table");
    this.vmList = Assert.notNull(vmList, "vmList");
    this.activeConfiguration = Assert.notNull(activeConfiguration, "activeConfiguration");
    this.vmListener = Assert.notNull(vmListener, "vmListener");
    this.metrics = Assert.notNull(metrics, "metrics");
  }

  /** Reads the VM list once. The future fails if the platform does not answer. */
  public CompletableFuture<Void> poll() {
    return vmList.read().thenAccept(this::acceptVms).whenComplete(this::countFailure);
  }

  /**
   * Reads the configuration if the table has a newer version than the active one. The future fails
   * if the platform does not answer.
   */
  public CompletableFuture<Void> pollConfiguration() {
    return table
        .readIfChanged(ConfigurationRecords.ROW, activeConfiguration.version())
        .thenAccept(row -> row.ifPresent(this::acceptConfiguration));
  }

  private void countFailure(@Nullable Void polled, @Nullable Throwable failure) {
    if (failure != null) {
      metrics.configurationPollFailed();
    }
  }

  private void acceptVms(VmList vms) {
    vmListener.accept(vms);
    activeConfiguration.updateVms(vms);
  }

  private void acceptConfiguration(TableRow row) {
    if (row.version() <= activeConfiguration.version()) {
      return;
    }
    try {
      if (activeConfiguration.offer(ConfigurationRecords.parse(row))) {
        metrics.configurationAccepted();
        logger.atInfo().log("activated configuration version %d", row.version());
        return;
      }
    } catch (ResultCodeException e) {
      activeConfiguration.recordUnreadable(row.version(), String.valueOf(e.getMessage()));
    }
    activeConfiguration.unreadableReason().ifPresent(this::reportUnreadable);
  }

  private void reportUnreadable(String reason) {
    metrics.configurationUnreadable();
    logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).log(
        "rejected a newer configuration, keeping version %d: %s",
        activeConfiguration.version(), reason);
  }
}
