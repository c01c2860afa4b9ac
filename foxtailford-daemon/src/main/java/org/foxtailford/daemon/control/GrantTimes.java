package org.foxtailford.daemon.control;

import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.ServiceAssignment;
import org.foxtailford.schema.SliceAssignmentValue;

/**
 * Notes in each version that this VM makes as leader when every owner received its slice.
 *
 * <p>An owner keeps its time as long as it keeps its fence, also under the next leader. The time of
 * an owner that an earlier leader assigned, and that no version known here names, stays unknown.
 * Stateless.
 */
public final class GrantTimes {

  private final Supplier<OwnershipMap> known;
  private final LongSupplier epochMs;

  /**
   * Creates the notes.
   *
   * @param known gives the newest owners that this VM knows
   * @param epochMs time of day, in milliseconds since 1970
   */
  public GrantTimes(Supplier<OwnershipMap> known, LongSupplier epochMs) {
    this.known = Assert.notNull(known, "known");
    this.epochMs = Assert.notNull(epochMs, "epochMs");
  }

  /** Returns a version with its times. */
  public OwnershipCheckpoint note(OwnershipCheckpoint version) {
    OwnershipMap before = known.get();
    long nowMs = epochMs.getAsLong();
    OwnershipCheckpoint.Builder noted = version.toBuilder();
    for (ServiceAssignment.Builder service : noted.getServicesBuilderList()) {
      for (SliceAssignmentValue.Builder slice : service.getSlicesBuilderList()) {
        slice.setGrantedAtMs(
            grantedAtMs(before, service.getService(), slice, version.getEpoch(), nowMs));
      }
    }
    return noted.build();
  }

  private static long grantedAtMs(
      OwnershipMap before,
      String service,
      SliceAssignmentValue.Builder slice,
      long epoch,
      long nowMs) {
    Fence fence = Fence.of(slice.getFence());
    Optional<SliceAssignment> same =
        before
            .owner(service, slice.getRange().getFirst())
            .filter(owner -> owner.fence().equals(fence));
    if (same.isPresent()) {
      return same.get().grantedAtMs();
    }
    return fence.epoch() == epoch ? nowMs : 0;
  }
}
