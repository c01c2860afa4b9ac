/** Clocks in milliseconds. */
@NullMarked
package org.foxtailford.core.time;

import org.jspecify.annotations.NullMarked;
