/** Stand-ins of the platform: table service, object store and VM list. */
@NullMarked
package org.foxtailford.testkit.platform;

import org.jspecify.annotations.NullMarked;
