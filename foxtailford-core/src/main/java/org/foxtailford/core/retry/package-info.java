/** Which failed attempts are sent again, and how many retries the good traffic pays for. */
@NullMarked
package org.foxtailford.core.retry;

import org.jspecify.annotations.NullMarked;
