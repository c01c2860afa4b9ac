/** Protection of connections with certificates, reloaded without a restart. */
@NullMarked
package org.foxtailford.net.tls;

import org.jspecify.annotations.NullMarked;
