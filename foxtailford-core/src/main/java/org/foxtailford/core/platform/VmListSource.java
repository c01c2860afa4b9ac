package org.foxtailford.core.platform;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.VmList;

/** The platform's list of live and leaving VMs, which lags behind reality. */
@FunctionalInterface
public interface VmListSource {

  /** Reads the list. */
  CompletableFuture<VmList> read();
}
