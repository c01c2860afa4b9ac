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
 * Tells whether slices that are to move to another data centre stay in use, since the table can't
 * take their next home.
 *
 * <p>Without it, an outage of the table between the release of slices and the write of their next
 * homes leaves them without an owner until it ends. Once such a write was sent, it may take effect
 * at any later time while its row is unchanged, so the slices then wait for another row. Not
 * thread-safe.
 */
final class StalledMoves {

  /** Time without an answer after which the table counts as lost, in milliseconds; some rounds. */
  static final long TABLE_TIMEOUT_MS = 1000;

  private final Supplier<HomesReading> homes;
  private final MillisClock clock;
  private final Map<String, Handover> handovers = new HashMap<>();
  private OptionalLong answeredMs = OptionalLong.empty();

  /** A row on whose version a hand-over was written, and when. */
  private record Handover(HomeRanges row, long atMs) {}

  StalledMoves(Supplier<HomesReading> homes, MillisClock clock) {
    this.homes = Assert.notNull(homes, "homes");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Notes that the table answered a call that was sent at a time. */
  void recordTableResponse(long sentMs) {
    answeredMs = OptionalLong.of(Math.max(answeredMs.orElse(sentMs), sentMs));
  }

  /** Notes that a row which gives released slices to their next homes is about to be written. */
  void recordPendingHandover(HomeRanges row) {
    handovers.put(row.getService(), new Handover(row, clock.nowMs()));
  }

  /** Tells whether the slices of a service stay where they are for now. */
  boolean isStalled(String service) {
    HomesReading reading = homes.get();
    if (answeredMs.isEmpty() || clock.nowMs() - answeredMs.getAsLong() < TABLE_TIMEOUT_MS) {
      return false;
    }
    return Optional.ofNullable(handovers.get(service))
        .map(handover -> isSuperseded(handover, reading, service))
        .orElse(true);
  }

  /** A row that was read after the write and differs from the one it needs shuts it out. */
  private static boolean isSuperseded(Handover handover, HomesReading reading, String service) {
    Optional<HomeRanges> row = reading.directory().row(service);
    return reading.asOfMs() > handover.atMs()
        && row.isPresent()
        && !row.get().equals(handover.row());
  }
}
