/** Review of a configuration before operators put it into force. */
@NullMarked
package org.foxtailford.core.review;

import org.jspecify.annotations.NullMarked;
