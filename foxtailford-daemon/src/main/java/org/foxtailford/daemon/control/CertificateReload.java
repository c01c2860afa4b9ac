package org.foxtailford.daemon.control;

import com.google.common.flogger.FluentLogger;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.tls.TlsContexts;

/** Reloads changed certificate files, and logs and counts the outcome. */
public final class CertificateReload implements Runnable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TlsContexts contexts;
  private final RouterMetrics metrics;

  public CertificateReload(TlsContexts contexts, RouterMetrics metrics) {
    this.contexts = Assert.notNull(contexts, "contexts");
    this.metrics = Assert.notNull(metrics, "metrics");
  }

  @Override
  public void run() {
    TlsContexts.Reload outcome = contexts.reload();
    if (outcome != TlsContexts.Reload.UNCHANGED) {
      metrics.certificateReload(outcome.name());
      logger.atInfo().log("certificate reload: %s", outcome);
    }
  }
}
