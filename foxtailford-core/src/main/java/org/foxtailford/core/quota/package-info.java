/** Quotas of tenants that hold over all entry VMs together. */
@NullMarked
package org.foxtailford.core.quota;

import org.jspecify.annotations.NullMarked;
