/** Upstreams that register themselves: entries, load and choice. */
@NullMarked
package org.foxtailford.core.upstream;

import org.jspecify.annotations.NullMarked;
