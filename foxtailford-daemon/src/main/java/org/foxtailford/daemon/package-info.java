/** The entry daemon: assembles the library into a process. */
@NullMarked
package org.foxtailford.daemon;

import org.jspecify.annotations.NullMarked;
