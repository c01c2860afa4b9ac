package org.foxtailford.core.ownership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.ServiceAssignment;

/** Owners of all slices whose home is one data centre, at one version. Immutable. */
public final class OwnershipMap {

  private final String dataCentre;
  private final Fence version;
  private final Map<String, SliceIndex<SliceAssignment>> byService;

  private OwnershipMap(
      String dataCentre, Fence version, Map<String, SliceIndex<SliceAssignment>> byService) {
    this.dataCentre = dataCentre;
    this.version = version;
    this.byService = byService;
  }

  /** Returns a map without slices, older than every other one. */
  public static OwnershipMap empty(String dataCentre) {
    return new OwnershipMap(dataCentre, Fence.NONE, Map.of());
  }

  /** Returns the map of a checkpoint. */
  public static OwnershipMap of(OwnershipCheckpoint checkpoint) {
    Map<String, SliceIndex<SliceAssignment>> byService =
        checkpoint.getServicesList().stream()
            .collect(
                Collectors.toUnmodifiableMap(ServiceAssignment::getService, OwnershipMap::index));
    Fence version = new Fence(checkpoint.getEpoch(), checkpoint.getSequence());
    return new OwnershipMap(checkpoint.getDataCentre(), version, byService);
  }

  private static SliceIndex<SliceAssignment> index(ServiceAssignment service) {
    List<SliceAssignment> slices =
        service.getSlicesList().stream().map(SliceAssignment::of).toList();
    return new SliceIndex<>(slices, SliceAssignment::range);
  }

  public String dataCentre() {
    return dataCentre;
  }

  public Fence version() {
    return version;
  }

  /** Returns the services that have slices. */
  public Set<String> services() {
    return byService.keySet();
  }

  /** Returns the assignment of a key's slice. */
  public Optional<SliceAssignment> owner(String service, long keyHash) {
    return Optional.ofNullable(byService.get(service)).flatMap(index -> index.find(keyHash));
  }

  /** Returns the assignments of a service, in the order of their ranges. */
  public Collection<SliceAssignment> slices(String service) {
    SliceIndex<SliceAssignment> index = byService.get(service);
    return index == null ? List.of() : index.entries();
  }
}
