/** TLS with certificates that are reloaded without a restart. */
@NullMarked
package org.foxtailford.net.tls;

import org.jspecify.annotations.NullMarked;
