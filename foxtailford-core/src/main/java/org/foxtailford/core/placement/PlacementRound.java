package org.foxtailford.core.placement;

import java.util.Comparator;
import java.util.List;
import org.foxtailford.core.slice.KeyLoad;

/**
 * Input of one placement round for one service in one data centre. The lists are sorted on
 * creation.
 *
 * @param slices slices of the service, in the order of their ranges
 * @param upstreams upstreams of the service, sorted by name; a slice whose owner is not listed
 *     counts as unowned
 * @param hotKeys keys with the highest request rates
 */
public record PlacementRound(
    List<PlacedSlice> slices, List<UpstreamCapacity> upstreams, List<KeyLoad> hotKeys) {

  public PlacementRound {
    slices = slices.stream().sorted(Comparator.comparing(PlacedSlice::range)).toList();
    upstreams = upstreams.stream().sorted(Comparator.comparing(UpstreamCapacity::name)).toList();
    hotKeys = List.copyOf(hotKeys);
  }

  /** Returns the names of the upstreams that may receive slices, sorted. */
  public List<String> acceptingNames() {
    return upstreams.stream()
        .filter(UpstreamCapacity::accepting)
        .map(UpstreamCapacity::name)
        .toList();
  }
}
