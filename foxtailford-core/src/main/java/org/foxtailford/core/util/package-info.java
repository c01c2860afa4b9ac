/** Checks of arguments and small helpers. */
@NullMarked
package org.foxtailford.core.util;

import org.jspecify.annotations.NullMarked;
