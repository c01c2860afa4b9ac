package org.foxtailford.core.dissemination;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.slice.SliceKey;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.OwnershipDelta;
import org.foxtailford.schema.ServiceAssignment;
import org.foxtailford.schema.SliceAssignmentValue;

/** Computes and applies differences between versions of an ownership map. */
final class OwnershipDeltas {

  private OwnershipDeltas() {}

  /** Returns the changed assignments by slice; empty values stand for removed slices. */
  static Map<SliceKey, Optional<SliceAssignment>> difference(
      OwnershipMap before, OwnershipMap after) {
    Map<SliceKey, SliceAssignment> oldAssignments = byKey(before);
    Map<SliceKey, SliceAssignment> newAssignments = byKey(after);
    Map<SliceKey, Optional<SliceAssignment>> changes = new HashMap<>();
    oldAssignments.keySet().stream()
        .filter(key -> !newAssignments.containsKey(key))
        .forEach(key -> changes.put(key, Optional.empty()));
    newAssignments.forEach(
        (key, assignment) -> {
          if (!assignment.equals(oldAssignments.get(key))) {
            changes.put(key, Optional.of(assignment));
          }
        });
    return changes;
  }

  private static Map<SliceKey, SliceAssignment> byKey(OwnershipMap map) {
    Map<SliceKey, SliceAssignment> byKey = new HashMap<>();
    for (String service : map.services()) {
      map.slices(service).forEach(s -> byKey.put(new SliceKey(service, s.range()), s));
    }
    return byKey;
  }

  /** Returns the message that carries changes from version {@code base} to {@code current}. */
  static OwnershipDelta toMessage(
      OwnershipMap current, Fence base, Map<SliceKey, Optional<SliceAssignment>> changes) {
    Map<String, ServiceAssignment.Builder> removed = new TreeMap<>();
    Map<String, ServiceAssignment.Builder> assigned = new TreeMap<>();
    changes.forEach(
        (key, change) -> {
          SliceAssignmentValue removedSlice =
              SliceAssignmentValue.newBuilder().setRange(key.range().toValue()).build();
          Map<String, ServiceAssignment.Builder> target = change.isPresent() ? assigned : removed;
          target
              .computeIfAbsent(key.service(), s -> ServiceAssignment.newBuilder().setService(s))
              .addSlices(change.map(SliceAssignment::toValue).orElse(removedSlice));
        });
    OwnershipDelta.Builder delta =
        OwnershipDelta.newBuilder()
            .setDataCentre(current.dataCentre())
            .setBase(base.toValue())
            .setVersion(current.version().toValue());
    removed.values().forEach(delta::addRemoved);
    assigned.values().forEach(delta::addAssigned);
    return delta.build();
  }

  /** Returns the map that results from applying a delta to its base version. */
  static OwnershipMap apply(OwnershipMap base, OwnershipDelta delta) {
    Map<SliceKey, SliceAssignment> slices = byKey(base);
    for (ServiceAssignment service : delta.getRemovedList()) {
      service
          .getSlicesList()
          .forEach(
              s -> slices.remove(new SliceKey(service.getService(), SliceRange.of(s.getRange()))));
    }
    for (ServiceAssignment service : delta.getAssignedList()) {
      service.getSlicesList().stream()
          .map(SliceAssignment::of)
          .forEach(s -> slices.put(new SliceKey(service.getService(), s.range()), s));
    }
    return OwnershipMap.of(checkpoint(base.dataCentre(), Fence.of(delta.getVersion()), slices));
  }

  /** Returns the message that carries a complete ownership map. */
  static OwnershipCheckpoint checkpoint(OwnershipMap map) {
    return checkpoint(map.dataCentre(), map.version(), byKey(map));
  }

  private static OwnershipCheckpoint checkpoint(
      String dataCentre, Fence version, Map<SliceKey, SliceAssignment> slices) {
    Map<String, ServiceAssignment.Builder> services = new TreeMap<>();
    slices.forEach(
        (key, assignment) ->
            services
                .computeIfAbsent(key.service(), s -> ServiceAssignment.newBuilder().setService(s))
                .addSlices(assignment.toValue()));
    OwnershipCheckpoint.Builder checkpoint =
        OwnershipCheckpoint.newBuilder()
            .setDataCentre(dataCentre)
            .setEpoch(version.epoch())
            .setSequence(version.sequence());
    Collection<ServiceAssignment.Builder> builders = services.values();
    builders.forEach(checkpoint::addServices);
    return checkpoint.build();
  }
}
