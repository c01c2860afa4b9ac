/** Reads JSON with comments into schema messages and reports every fault at once. */
@NullMarked
package org.foxtailford.core.settings;

import org.jspecify.annotations.NullMarked;
