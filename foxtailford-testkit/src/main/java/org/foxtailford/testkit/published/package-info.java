/**
 * Stand-ins for the row store and upstreams, with the published protocol of the users' platform.
 */
@NullMarked
package org.foxtailford.testkit.published;

import org.jspecify.annotations.NullMarked;
