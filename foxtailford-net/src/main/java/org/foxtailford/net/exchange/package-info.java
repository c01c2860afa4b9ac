/** What callers' and upstreams' messages say beside HTTP, whatever the fields are called. */
@NullMarked
package org.foxtailford.net.exchange;

import org.jspecify.annotations.NullMarked;
