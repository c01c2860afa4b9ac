/** The way of a request: classify, decide, send or relay, answer. */
@NullMarked
package org.foxtailford.daemon.request;

import org.jspecify.annotations.NullMarked;
