/** Slow start in the running daemon: the gate's lease messages and the evidence of warmth. */
@NullMarked
package org.foxtailford.daemon.coldstart;

import org.jspecify.annotations.NullMarked;
