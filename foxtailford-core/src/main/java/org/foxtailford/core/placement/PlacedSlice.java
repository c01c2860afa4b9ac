package org.foxtailford.core.placement;

import java.util.Optional;
import org.foxtailford.core.slice.SliceRange;

/**
 * Slice with its owner and load, as input to a {@link PlacementPolicy}.
 *
 * @param range key hashes that the slice covers
 * @param owner name of the upstream that owns the slice; empty if it is unowned
 * @param load requests per second for its keys
 */
public record PlacedSlice(SliceRange range, Optional<String> owner, double load) {}
