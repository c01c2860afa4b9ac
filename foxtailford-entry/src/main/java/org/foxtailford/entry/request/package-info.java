/** The way of a caller's request: placing, waiting, sending, answering. */
@NullMarked
package org.foxtailford.entry.request;

import org.jspecify.annotations.NullMarked;
