/** Routing state of an entry VM, leader election, and the tasks of the leader. */
@NullMarked
package org.foxtailford.entry.control;

import org.jspecify.annotations.NullMarked;
