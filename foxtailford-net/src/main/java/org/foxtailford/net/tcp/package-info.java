/** TCP utilities shared by HTTP and peer connections. */
@NullMarked
package org.foxtailford.net.tcp;

import org.jspecify.annotations.NullMarked;
