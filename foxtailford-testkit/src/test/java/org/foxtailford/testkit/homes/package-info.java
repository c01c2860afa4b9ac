/** Schedules of faults over several data centres, with the real election, leader and home mover. */
@NullMarked
package org.foxtailford.testkit.homes;

import org.jspecify.annotations.NullMarked;
