/** Settings of an entry VM. */
@NullMarked
package org.foxtailford.entry.settings;

import org.jspecify.annotations.NullMarked;
