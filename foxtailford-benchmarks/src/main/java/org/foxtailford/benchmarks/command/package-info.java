/** What the measuring commands share. */
@NullMarked
package org.foxtailford.benchmarks.command;

import org.jspecify.annotations.NullMarked;
