/** What this VM sends to owners of keys, on its way to the leader of the data centre. */
@NullMarked
package org.foxtailford.daemon.load;

import org.jspecify.annotations.NullMarked;
