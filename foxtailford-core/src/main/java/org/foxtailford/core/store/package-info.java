/** Rows of the platform's store, as the decisions see them. */
@NullMarked
package org.foxtailford.core.store;

import org.jspecify.annotations.NullMarked;
