/** Stand-ins that speak the published protocol of the users' platform. */
@NullMarked
package org.foxtailford.testkit.published;

import org.jspecify.annotations.NullMarked;
