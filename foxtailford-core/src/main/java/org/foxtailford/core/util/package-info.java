/** Argument checks and rendezvous hashing. */
@NullMarked
package org.foxtailford.core.util;

import org.jspecify.annotations.NullMarked;
