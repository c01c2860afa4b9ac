package org.foxtailford.entry.request;

import java.util.Optional;
import org.foxtailford.core.quota.QuotaAdmission;
import org.foxtailford.core.quota.QuotaLimit;

/** Tokens of tenants with a limit. Called on the event loop. */
public interface TokenSource {

  /** Returns the limit of a tenant; empty if it has none. */
  Optional<QuotaLimit> limit(String tenant);

  /** Decides on a new request. */
  QuotaAdmission request(String tenant);

  /** Decides again on a request that waits. */
  QuotaAdmission decide(String tenant);

  /** Decides on a request that has waited in vain for a holder. */
  QuotaAdmission withoutHolder(String tenant);

  /** Records that a request no longer waits. */
  void endWait(String tenant);

  /** Takes back the token of a request that was rejected without having run. */
  void putBack(String tenant, QuotaAdmission admission);

  /** Returns the share of the holder that this VM is itself, in parts per million, for the log. */
  int sharePpm(String tenant);

  /** Returns the time since a holder last answered this VM, in milliseconds; -1 if none has. */
  long answerAgeMs();
}
