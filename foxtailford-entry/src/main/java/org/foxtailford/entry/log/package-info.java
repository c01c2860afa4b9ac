/** Structured lines on standard output, bounded and never blocking. */
@NullMarked
package org.foxtailford.entry.log;

import org.jspecify.annotations.NullMarked;
