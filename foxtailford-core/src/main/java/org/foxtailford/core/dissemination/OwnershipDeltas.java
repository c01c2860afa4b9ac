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

/** Differences between two versions of the owners. */
final class OwnershipDeltas {

  private OwnershipDeltas() {}

  static Map<SliceKey, Optional<SliceAssignment>> difference(
      OwnershipMap before, OwnershipMap after) {
    Map<SliceKey, SliceAssignment> old = byKey(before);
    Map<SliceKey, SliceAssignment> now = byKey(after);
    Map<SliceKey, Optional<SliceAssignment>> changes = new HashMap<>();
    old.keySet().stream()
        .filter(key -> !now.containsKey(key))
        .forEach(key -> changes.put(key, Optional.empty()));
    now.forEach(
        (key, assignment) -> {
          if (!assignment.equals(old.get(key))) {
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

  static OwnershipDelta toMessage(
      OwnershipMap current, Fence base, Map<SliceKey, Optional<SliceAssignment>> changes) {
    Map<String, ServiceAssignment.Builder> removed = new TreeMap<>();
    Map<String, ServiceAssignment.Builder> assigned = new TreeMap<>();
    changes.forEach(
        (key, change) -> {
          SliceAssignmentValue gone =
              SliceAssignmentValue.newBuilder().setRange(key.range().toValue()).build();
          Map<String, ServiceAssignment.Builder> target = change.isPresent() ? assigned : removed;
          target
              .computeIfAbsent(key.service(), s -> ServiceAssignment.newBuilder().setService(s))
              .addSlices(change.map(SliceAssignment::toValue).orElse(gone));
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
    Collection<ServiceAssignment.Builder> all = services.values();
    all.forEach(checkpoint::addServices);
    return checkpoint.build();
  }
}
