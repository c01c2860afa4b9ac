/** Slices of keys: ranges of the hash of a key, and how keys are hashed. */
@NullMarked
package org.foxtailford.core.slice;

import org.jspecify.annotations.NullMarked;
