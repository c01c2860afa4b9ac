package org.foxtailford.core.ownership;

import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.SliceAssignmentValue;

/**
 * A slice and the upstream that it is assigned to.
 *
 * @param range hashes of the slice
 * @param upstream name of the owning VM
 * @param fence fence under which the owner received the slice
 * @param grantedAtMs when the owner received it, in milliseconds since 1970 by the time of day of
 *     the leader; zero if unknown
 */
public record SliceAssignment(SliceRange range, String upstream, Fence fence, long grantedAtMs) {

  /** Creates an assignment whose time is unknown. */
  public SliceAssignment(SliceRange range, String upstream, Fence fence) {
    this(range, upstream, fence, 0);
  }

  /** Returns the assignment of a schema message. */
  public static SliceAssignment of(SliceAssignmentValue value) {
    return new SliceAssignment(
        SliceRange.of(value.getRange()),
        value.getUpstream(),
        Fence.of(value.getFence()),
        value.getGrantedAtMs());
  }

  /** Returns the schema message of this assignment. */
  public SliceAssignmentValue toValue() {
    return SliceAssignmentValue.newBuilder()
        .setRange(range.toValue())
        .setUpstream(upstream)
        .setFence(fence.toValue())
        .setGrantedAtMs(grantedAtMs)
        .build();
  }
}
