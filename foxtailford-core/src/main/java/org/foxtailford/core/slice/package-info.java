/** Slices, which are ranges of key hashes, and the hash function for keys. */
@NullMarked
package org.foxtailford.core.slice;

import org.jspecify.annotations.NullMarked;
