/** Requests that crash the upstreams that run them: found by coincidence, tried alone, refused. */
@NullMarked
package org.foxtailford.core.poison;

import org.jspecify.annotations.NullMarked;
