package org.foxtailford.core.ownership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.ServiceAssignment;

/** Immutable map of the owners of all slices whose home is one data centre, at one version. */
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

  /** Returns a map without slices, with a version lower than that of any published map. */
  public static OwnershipMap empty(String dataCentre) {
    return new OwnershipMap(dataCentre, Fence.NONE, Map.of());
  }

  /** Creates a map from a checkpoint. */
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

  /** Returns the names of the services that have slices. */
  public Set<String> services() {
    return byService.keySet();
  }

  /**
   * Returns the assignment of the slice that contains a key hash, or empty if no such slice has an
   * owner.
   */
  public Optional<SliceAssignment> owner(String service, long keyHash) {
    return Optional.ofNullable(byService.get(service)).flatMap(index -> index.find(keyHash));
  }

  /** Returns the assignments of a service in the order of their ranges; empty if it has none. */
  public Collection<SliceAssignment> slices(String service) {
    SliceIndex<SliceAssignment> index = byService.get(service);
    return index == null ? List.of() : index.entries();
  }
}
