package org.foxtailford.core.placement;

import java.util.Comparator;
import java.util.List;
import org.foxtailford.core.slice.KeyLoad;

/**
 * What one round of placement decides on, for one service in one data centre.
 *
 * @param slices its slices, in the order of their ranges
 * @param upstreams its upstreams, sorted by name; an owner that is not among them is lost
 * @param hotKeys its busiest keys
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
