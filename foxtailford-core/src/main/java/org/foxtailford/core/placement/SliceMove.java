package org.foxtailford.core.placement;

import org.foxtailford.core.slice.SliceRange;

/**
 * Change of the owner of a slice, as planned by a {@link PlacementPolicy}.
 *
 * @param range key hashes that the slice covers
 * @param target name of the new owner
 */
public record SliceMove(SliceRange range, String target) {}
