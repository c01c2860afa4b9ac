package org.foxtailford.core.coldstart;

import java.util.Optional;

/** Admits every request, for services whose upstreams need no slow start. Thread-safe. */
public final class UnguardedAdmission implements ColdStartAdmission {

  @Override
  public Optional<ColdStartPermit> tryStart(String upstream, long nowMs) {
    return Optional.of(ColdStartPermit.unguarded(upstream, nowMs));
  }

  @Override
  public void recordEnd(ColdStartPermit ticket, boolean certain) {}

  @Override
  public void onColdRefusal(String upstream, long nowMs) {}
}
