/** Reading of settings: JSON with comments, parsed into schema messages and checked. */
@NullMarked
package org.foxtailford.core.settings;

import org.jspecify.annotations.NullMarked;
