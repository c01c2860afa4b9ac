package org.foxtailford.core.ownership;

import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.SliceAssignmentValue;

/**
 * Assignment of a slice to the upstream that owns it.
 *
 * @param range key hashes of the slice
 * @param upstream name of the owning VM
 * @param fence fence under which the owner received the slice
 * @param grantedAtMs time at which the owner received the slice, in milliseconds since 1970-01-01
 *     UTC by the wall clock of the leader; zero if unknown
 */
public record SliceAssignment(SliceRange range, String upstream, Fence fence, long grantedAtMs) {

  /** Creates an assignment whose grant time is unknown. */
  public SliceAssignment(SliceRange range, String upstream, Fence fence) {
    this(range, upstream, fence, 0);
  }

  /** Converts an assignment from its protobuf message. */
  public static SliceAssignment of(SliceAssignmentValue value) {
    return new SliceAssignment(
        SliceRange.of(value.getRange()),
        value.getUpstream(),
        Fence.of(value.getFence()),
        value.getGrantedAtMs());
  }

  /** Converts this assignment to its protobuf message. */
  public SliceAssignmentValue toValue() {
    return SliceAssignmentValue.newBuilder()
        .setRange(range.toValue())
        .setUpstream(upstream)
        .setFence(fence.toValue())
        .setGrantedAtMs(grantedAtMs)
        .build();
  }
}
