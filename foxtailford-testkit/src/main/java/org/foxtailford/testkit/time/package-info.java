/** A clock that tests move by hand. */
@NullMarked
package org.foxtailford.testkit.time;

import org.jspecify.annotations.NullMarked;
