/** Streaming HTTP proxy between callers and upstreams. */
@NullMarked
package org.foxtailford.net.proxy;

import org.jspecify.annotations.NullMarked;
