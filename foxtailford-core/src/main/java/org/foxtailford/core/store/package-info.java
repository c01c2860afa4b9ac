/** Access to the tables of the platform's store, and local copies of them. */
@NullMarked
package org.foxtailford.core.store;

import org.jspecify.annotations.NullMarked;
