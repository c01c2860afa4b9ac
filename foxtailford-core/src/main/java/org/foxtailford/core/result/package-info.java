/** Numbered result codes and the exceptions that carry them. */
@NullMarked
package org.foxtailford.core.result;

import org.jspecify.annotations.NullMarked;
