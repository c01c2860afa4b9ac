/** Retry policy for failed attempts, and the budget that limits retries. */
@NullMarked
package org.foxtailford.core.retry;

import org.jspecify.annotations.NullMarked;
