package org.foxtailford.core.coldstart;

import java.util.Optional;

/** Admits every request; for upstreams without a cold start. Thread-safe. */
public final class UnguardedAdmission implements ColdStartAdmission {

  @Override
  public Optional<ColdTicket> tryStart(String upstream, long nowMs) {
    return Optional.of(ColdTicket.unguarded(upstream, nowMs));
  }

  @Override
  public void ended(ColdTicket ticket, boolean certain) {}

  @Override
  public void onColdRefusal(String upstream, long nowMs) {}
}
