package org.foxtailford.core.slice;

import org.foxtailford.schema.GrantedSlice;

/**
 * Identifies a slice among all services.
 *
 * @param service name of the service
 * @param range key hashes that the slice covers
 */
public record SliceKey(String service, SliceRange range) {

  /** Returns the identity of a granted slice. */
  public static SliceKey of(GrantedSlice slice) {
    return new SliceKey(slice.getService(), SliceRange.of(slice.getRange()));
  }
}
