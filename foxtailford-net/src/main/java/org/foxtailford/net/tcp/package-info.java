/** Steps of listening on TCP that HTTP and peer links share. */
@NullMarked
package org.foxtailford.net.tcp;

import org.jspecify.annotations.NullMarked;
