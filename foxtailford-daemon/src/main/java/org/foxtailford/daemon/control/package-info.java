/** Control tasks that keep configuration, leadership and ownership up to date. */
@NullMarked
package org.foxtailford.daemon.control;

import org.jspecify.annotations.NullMarked;
