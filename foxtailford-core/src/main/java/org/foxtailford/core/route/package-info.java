/** Routing of callers' requests to services by host and path prefix. */
@NullMarked
package org.foxtailford.core.route;

import org.jspecify.annotations.NullMarked;
