/** HTTP clients of the platform's table service, object store and VM list, and of upstreams. */
@NullMarked
package org.foxtailford.platform;

import org.jspecify.annotations.NullMarked;
