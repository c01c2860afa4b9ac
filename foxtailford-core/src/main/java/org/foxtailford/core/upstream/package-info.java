/** Registered upstreams, estimates of their load, and the choice among them. */
@NullMarked
package org.foxtailford.core.upstream;

import org.jspecify.annotations.NullMarked;
