/** Limits on this VM's requests in flight, queued requests, and requests to each upstream. */
@NullMarked
package org.foxtailford.core.admission;

import org.jspecify.annotations.NullMarked;
