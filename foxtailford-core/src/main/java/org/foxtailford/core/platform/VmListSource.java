package org.foxtailford.core.platform;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.VmList;

/** Source of the platform's list of live and leaving VMs, which lags behind the actual state. */
@FunctionalInterface
public interface VmListSource {

  /** Reads the list. */
  CompletableFuture<VmList> read();
}
