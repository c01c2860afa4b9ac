/** Fields of structured log events. */
@NullMarked
package org.foxtailford.core.event;

import org.jspecify.annotations.NullMarked;
