/** Decisions under load: waiting, refusal, retries and cold upstreams. */
@NullMarked
package org.foxtailford.core.overload;

import org.jspecify.annotations.NullMarked;
