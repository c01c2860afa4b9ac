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
 * <p>Each of them is taken as it comes, so that a failure to read one does not hold up the others.
 */
public final class ConfigurationPoller {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TableService table;
  private final VmListSource vmList;
  private final ActiveConfiguration inForce;
  private final Consumer<VmList> vmListener;
  private final RouterMetrics metrics;

  /**
   * Creates a poller.
   *
   * @param table the table service
   * @param vmList the VM list
   * @param inForce receives configurations and VM lists
   * @param vmListener receives each VM list that was read
   * @param metrics counters
   */
  public ConfigurationPoller(
      TableService table,
      VmListSource vmList,
      ActiveConfiguration inForce,
      Consumer<VmList> vmListener,
      RouterMetrics metrics) {
    this.table = Assert.notNull(table, "table");
    this.vmList = Assert.notNull(vmList, "vmList");
    this.inForce = Assert.notNull(inForce, "inForce");
    this.vmListener = Assert.notNull(vmListener, "vmListener");
    this.metrics = Assert.notNull(metrics, "metrics");
  }

  /** Reads the VM list once. The future fails if the platform does not answer. */
  public CompletableFuture<Void> poll() {
    return vmList.read().thenAccept(this::acceptVms).whenComplete(this::countFailure);
  }

  /** Reads the configuration. */
  public CompletableFuture<Void> pollConfiguration() {
    return table
        .readIfChanged(ConfigurationRecords.ROW, inForce.version())
        .thenAccept(row -> row.ifPresent(this::acceptConfiguration));
  }

  private void countFailure(@Nullable Void polled, @Nullable Throwable failure) {
    if (failure != null) {
      metrics.configurationPollFailed();
    }
  }

  private void acceptVms(VmList vms) {
    vmListener.accept(vms);
    inForce.updateVms(vms);
  }

  private void acceptConfiguration(TableRow row) {
    if (row.version() <= inForce.version()) {
      return;
    }
    try {
      if (inForce.offer(ConfigurationRecords.parse(row))) {
        metrics.configurationAccepted();
        logger.atInfo().log("configuration version %d is in force", row.version());
        return;
      }
    } catch (ResultCodeException e) {
      inForce.recordUnreadable(row.version(), String.valueOf(e.getMessage()));
    }
    inForce.unreadableReason().ifPresent(this::reportUnreadable);
  }

  private void reportUnreadable(String reason) {
    metrics.configurationUnreadable();
    logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).log(
        "keeping configuration version %d: %s", inForce.version(), reason);
  }
}
