/** In-memory stand-ins for the platform's table service, object store and VM list. */
@NullMarked
package org.foxtailford.testkit.platform;

import org.jspecify.annotations.NullMarked;
