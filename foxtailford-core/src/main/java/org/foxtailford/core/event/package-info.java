/** Fields of structured log lines. */
@NullMarked
package org.foxtailford.core.event;

import org.jspecify.annotations.NullMarked;
