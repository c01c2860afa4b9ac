package org.foxtailford.core.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRanges;

/**
 * Determines whether slices that are to move to another data centre stay in use because the table
 * service cannot store their next home.
 *
 * <p>Otherwise, an outage of the table service between the release of slices and the write of their
 * next homes would leave them without an owner until it ends. Once such a write has been sent, it
 * may take effect at any later time while its row is unchanged. From then on, the slices stay in
 * use only if a different row has been read. Not thread-safe.
 */
final class StalledMoves {

  /**
   * Time without a response after which the table service counts as unavailable, in milliseconds;
   * several rounds long.
   */
  static final long TABLE_TIMEOUT_MS = 1000;

  private final Supplier<HomesSnapshot> homes;
  private final MillisClock clock;
  private final Map<String, Handover> handovers = new HashMap<>();
  private OptionalLong answeredMs = OptionalLong.empty();

  /** A row on whose version the write of a handover depends, and the time of that write. */
  private record Handover(HomeRanges row, long atMs) {}

  StalledMoves(Supplier<HomesSnapshot> homes, MillisClock clock) {
    this.homes = Assert.notNull(homes, "homes");
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Records that the table service responded to a call.
   *
   * @param sentMs time at which the call was sent, on the clock of this VM
   */
  void recordTableResponse(long sentMs) {
    answeredMs = OptionalLong.of(Math.max(answeredMs.orElse(sentMs), sentMs));
  }

  /**
   * Records that a home row is about to be written that hands released slices over to their next
   * homes.
   */
  void recordPendingHandover(HomeRanges row) {
    handovers.put(row.getService(), new Handover(row, clock.nowMs()));
  }

  /** Returns whether the slices of a service stay where they are for now. */
  boolean isStalled(String service) {
    HomesSnapshot reading = homes.get();
    if (answeredMs.isEmpty() || clock.nowMs() - answeredMs.getAsLong() < TABLE_TIMEOUT_MS) {
      return false;
    }
    return Optional.ofNullable(handovers.get(service))
        .map(handover -> isSuperseded(handover, reading, service))
        .orElse(true);
  }

  /**
   * Returns whether a handover can no longer take effect: a row read after its write differs from
   * the one on which the write depends.
   */
  private static boolean isSuperseded(Handover handover, HomesSnapshot reading, String service) {
    Optional<HomeRanges> row = reading.directory().row(service);
    return reading.asOfMs() > handover.atMs()
        && row.isPresent()
        && !row.get().equals(handover.row());
  }
}
