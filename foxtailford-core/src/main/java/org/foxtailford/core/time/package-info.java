/** Elapsed-time clocks with millisecond readings. */
@NullMarked
package org.foxtailford.core.time;

import org.jspecify.annotations.NullMarked;
