/** Interfaces to the platform: table service, object store and VM list. */
@NullMarked
package org.foxtailford.core.platform;

import org.jspecify.annotations.NullMarked;
