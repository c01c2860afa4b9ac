/** The routing decision: from a request and a snapshot to an upstream, a relay or a refusal. */
@NullMarked
package org.foxtailford.core.routing;

import org.jspecify.annotations.NullMarked;
