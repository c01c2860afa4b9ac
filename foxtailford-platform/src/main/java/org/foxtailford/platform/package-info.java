/** The platform and upstreams over HTTP: table service, object store, VM list and grants. */
@NullMarked
package org.foxtailford.platform;

import org.jspecify.annotations.NullMarked;
