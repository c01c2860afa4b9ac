/** Selectors that match labels. */
@NullMarked
package org.foxtailford.core.selector;

import org.jspecify.annotations.NullMarked;
