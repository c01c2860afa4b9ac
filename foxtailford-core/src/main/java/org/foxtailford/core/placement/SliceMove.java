package org.foxtailford.core.placement;

import org.foxtailford.core.slice.SliceRange;

/**
 * A change of owner that a policy asks for.
 *
 * @param range hashes of the slice
 * @param target upstream that is to own it
 */
public record SliceMove(SliceRange range, String target) {}
