/** Overload control: queueing, rejection, retry budgets, pacing and cold upstreams. */
@NullMarked
package org.foxtailford.core.overload;

import org.jspecify.annotations.NullMarked;
