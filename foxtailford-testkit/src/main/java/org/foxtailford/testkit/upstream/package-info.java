/** Stand-ins of upstreams that take fenced grants, shed load, drain and start cold. */
@NullMarked
package org.foxtailford.testkit.upstream;

import org.jspecify.annotations.NullMarked;
