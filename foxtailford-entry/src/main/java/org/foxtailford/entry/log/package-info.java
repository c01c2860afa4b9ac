/** Structured log on standard output, bounded in volume and non-blocking. */
@NullMarked
package org.foxtailford.entry.log;

import org.jspecify.annotations.NullMarked;
