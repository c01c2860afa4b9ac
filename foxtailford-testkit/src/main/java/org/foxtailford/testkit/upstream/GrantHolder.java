package org.foxtailford.testkit.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.GrantedSlice;

/**
 * Grants as an upstream that checks fences keeps them. Thread-safe.
 *
 * <p>A grant must carry the boot id of this process and a fence above every earlier one. Its time
 * to live counts from a reading of this process's clock that the leader repeats.
 */
public final class GrantHolder {

  private final long bootId;
  private final MillisClock clock;
  private Fence highest = Fence.NONE;
  private long expiresMs;
  private List<GrantedSlice> slices = List.of();

  public GrantHolder(long bootId, MillisClock clock) {
    this.bootId = bootId;
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Returns what is held. */
  public synchronized GrantReply status() {
    return reply(true);
  }

  /** Applies a grant if its boot id and fence allow it. */
  public synchronized GrantReply apply(GrantRequest request) {
    Fence fence = Fence.of(request.getFence());
    if (request.getBootId() != bootId || fence.compareTo(highest) <= 0) {
      return reply(false);
    }
    highest = fence;
    if (!request.getFenceOnly()) {
      slices = new ArrayList<>(request.getSlicesList());
      expiresMs = request.getAsOfMs() + request.getTtlMs();
    }
    return reply(true);
  }

  /** Returns the fence of the slice that holds a key, if this upstream owns it at this moment. */
  public synchronized Optional<Fence> ownedFence(String service, long keyHash) {
    if (clock.nowMs() >= expiresMs) {
      return Optional.empty();
    }
    for (GrantedSlice slice : slices) {
      boolean sameService = slice.getService().equals(service);
      if (sameService && SliceRange.of(slice.getRange()).contains(keyHash)) {
        return Optional.of(Fence.of(slice.getFence()));
      }
    }
    return Optional.empty();
  }

  private GrantReply reply(boolean accepted) {
    long nowMs = clock.nowMs();
    return GrantReply.newBuilder()
        .setAccepted(accepted)
        .setBootId(bootId)
        .setNowMs(nowMs)
        .setHighestFence(highest.toValue())
        .setRemainingMs((int) Math.max(0, expiresMs - nowMs))
        .addAllSlices(slices)
        .build();
  }
}
