package org.foxtailford.core.slice;

import org.foxtailford.schema.GrantedSlice;

/**
 * Names a slice across services.
 *
 * @param service service of the slice
 * @param range hashes of the slice
 */
public record SliceKey(String service, SliceRange range) {

  /** Returns the key of a granted slice. */
  public static SliceKey of(GrantedSlice slice) {
    return new SliceKey(slice.getService(), SliceRange.of(slice.getRange()));
  }
}
