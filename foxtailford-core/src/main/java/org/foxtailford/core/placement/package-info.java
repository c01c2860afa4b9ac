/** Assignment of slices to upstreams: policies, plans and slice layouts. */
@NullMarked
package org.foxtailford.core.placement;

import org.jspecify.annotations.NullMarked;
