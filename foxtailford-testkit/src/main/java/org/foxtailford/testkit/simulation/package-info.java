/** Deterministic schedules of faults, run against the real ownership decisions. */
@NullMarked
package org.foxtailford.testkit.simulation;

import org.jspecify.annotations.NullMarked;
