/** Expected cost of requests and remaining work of upstreams. */
@NullMarked
package org.foxtailford.core.cost;

import org.jspecify.annotations.NullMarked;
