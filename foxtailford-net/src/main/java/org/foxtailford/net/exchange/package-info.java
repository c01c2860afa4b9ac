/** Abstraction of the header fields that callers, entry VMs and upstreams exchange. */
@NullMarked
package org.foxtailford.net.exchange;

import org.jspecify.annotations.NullMarked;
