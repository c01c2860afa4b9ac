/** HTTP server and clients for callers, upstreams, the platform and operators, on Netty. */
@NullMarked
package org.foxtailford.net.http;

import org.jspecify.annotations.NullMarked;
