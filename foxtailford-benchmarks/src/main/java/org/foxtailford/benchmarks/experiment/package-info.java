/** The command that runs experiments on whole entry VMs. */
@NullMarked
package org.foxtailford.benchmarks.experiment;

import org.jspecify.annotations.NullMarked;
