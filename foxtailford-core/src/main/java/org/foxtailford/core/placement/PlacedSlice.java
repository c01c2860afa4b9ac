package org.foxtailford.core.placement;

import java.util.Optional;
import org.foxtailford.core.slice.SliceRange;

/**
 * A slice as the placement policy sees it.
 *
 * @param range hashes of the slice
 * @param owner upstream that holds it; empty if it is free
 * @param load requests a second that it receives
 */
public record PlacedSlice(SliceRange range, Optional<String> owner, double load) {}
