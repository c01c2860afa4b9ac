/** Loops that keep configuration, leadership and owners current. */
@NullMarked
package org.foxtailford.daemon.control;

import org.jspecify.annotations.NullMarked;
