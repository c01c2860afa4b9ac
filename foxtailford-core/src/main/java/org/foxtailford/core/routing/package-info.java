/**
 * Routing of requests: chooses the upstream or data centre for a request, or refuses it, from a
 * snapshot of the ownership state and the observed load.
 */
@NullMarked
package org.foxtailford.core.routing;

import org.jspecify.annotations.NullMarked;
