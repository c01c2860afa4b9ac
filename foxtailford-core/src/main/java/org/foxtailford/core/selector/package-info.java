/** Labels and the selectors that match them. */
@NullMarked
package org.foxtailford.core.selector;

import org.jspecify.annotations.NullMarked;
