/** Entry VM process for upstreams that register themselves in the platform's store. */
@NullMarked
package org.foxtailford.entry;

import org.jspecify.annotations.NullMarked;
