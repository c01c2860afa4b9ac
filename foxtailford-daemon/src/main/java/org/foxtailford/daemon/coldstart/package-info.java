/**
 * Cold start protection in the daemon: admission of requests to cold upstreams, gate lease
 * messages, and distribution of the boot ids of warm upstreams.
 */
@NullMarked
package org.foxtailford.daemon.coldstart;

import org.jspecify.annotations.NullMarked;
