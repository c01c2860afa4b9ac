/** The operators' client. */
@NullMarked
package org.foxtailford.cli;

import org.jspecify.annotations.NullMarked;
