/** Counters and latency histograms of an entry VM. */
@NullMarked
package org.foxtailford.entry.metrics;

import org.jspecify.annotations.NullMarked;
