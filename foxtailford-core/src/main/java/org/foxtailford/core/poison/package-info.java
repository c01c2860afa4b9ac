/** Detection, isolated runs and refusal of poison requests, which crash upstreams. */
@NullMarked
package org.foxtailford.core.poison;

import org.jspecify.annotations.NullMarked;
