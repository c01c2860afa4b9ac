/** Event-driven model of the request path under load and faults. */
@NullMarked
package org.foxtailford.benchmarks.requests;

import org.jspecify.annotations.NullMarked;
