/** Limits on what this VM keeps in flight, queues, and sends to one upstream. */
@NullMarked
package org.foxtailford.core.admission;

import org.jspecify.annotations.NullMarked;
