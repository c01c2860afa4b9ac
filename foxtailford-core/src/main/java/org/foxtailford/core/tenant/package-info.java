/** Tenants and their API keys. */
@NullMarked
package org.foxtailford.core.tenant;

import org.jspecify.annotations.NullMarked;
