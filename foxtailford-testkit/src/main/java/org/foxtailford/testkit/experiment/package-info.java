/** Experiments: a whole system on loopback under load while operators change it. */
@NullMarked
package org.foxtailford.testkit.experiment;

import org.jspecify.annotations.NullMarked;
