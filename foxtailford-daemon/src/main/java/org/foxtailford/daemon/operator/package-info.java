/** The operators' HTTP interface: configuration, inventory, routing, status, health and metrics. */
@NullMarked
package org.foxtailford.daemon.operator;

import org.jspecify.annotations.NullMarked;
