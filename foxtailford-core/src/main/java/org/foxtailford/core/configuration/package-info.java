/** Validation, storage and propagation of the configuration, and the upstreams that it selects. */
@NullMarked
package org.foxtailford.core.configuration;

import org.jspecify.annotations.NullMarked;
