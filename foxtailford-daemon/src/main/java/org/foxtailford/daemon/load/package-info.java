/**
 * Counts the load that this VM sends to owners of keys and reports it to the data centre's leader.
 */
@NullMarked
package org.foxtailford.daemon.load;

import org.jspecify.annotations.NullMarked;
