/** The operators' HTTP interface: status, metrics and health. */
@NullMarked
package org.foxtailford.daemon.operator;

import org.jspecify.annotations.NullMarked;
