/** Request processing: classification, admission, routing, attempts, relaying and answers. */
@NullMarked
package org.foxtailford.daemon.request;

import org.jspecify.annotations.NullMarked;
