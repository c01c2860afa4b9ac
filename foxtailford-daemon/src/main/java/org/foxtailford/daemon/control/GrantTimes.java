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
 * Adds the grant time of each slice to the ownership versions that this VM creates as leader.
 *
 * <p>An owner keeps its grant time as long as its fence is unchanged, also under the next leader.
 * The grant time of an owner that an earlier leader assigned stays unknown (zero) if the current
 * owners of this VM do not include it. Stateless.
 */
public final class GrantTimes {

  private final Supplier<OwnershipMap> currentOwners;
  private final LongSupplier epochMs;

  /**
   * Creates an instance.
   *
   * @param currentOwners supplies the newest owners known to this VM
   * @param epochMs supplies the wall-clock time, in milliseconds since 1970
   */
  public GrantTimes(Supplier<OwnershipMap> currentOwners, LongSupplier epochMs) {
    this.currentOwners = Assert.notNull(currentOwners, "currentOwners");
    this.epochMs = Assert.notNull(epochMs, "epochMs");
  }

  /** Returns a copy of a version in which each slice has its grant time. */
  public OwnershipCheckpoint withGrantTimes(OwnershipCheckpoint version) {
    OwnershipMap previous = currentOwners.get();
    long nowMs = epochMs.getAsLong();
    OwnershipCheckpoint.Builder result = version.toBuilder();
    for (ServiceAssignment.Builder service : result.getServicesBuilderList()) {
      for (SliceAssignmentValue.Builder slice : service.getSlicesBuilderList()) {
        slice.setGrantedAtMs(
            grantedAtMs(previous, service.getService(), slice, version.getEpoch(), nowMs));
      }
    }
    return result.build();
  }

  private static long grantedAtMs(
      OwnershipMap previous,
      String service,
      SliceAssignmentValue.Builder slice,
      long epoch,
      long nowMs) {
    Fence fence = Fence.of(slice.getFence());
    Optional<SliceAssignment> unchanged =
        previous
            .owner(service, slice.getRange().getFirst())
            .filter(owner -> owner.fence().equals(fence));
    if (unchanged.isPresent()) {
      return unchanged.get().grantedAtMs();
    }
    return fence.epoch() == epoch ? nowMs : 0;
  }
}
