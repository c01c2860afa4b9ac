/** Commands that run the stand-ins and the demonstration. */
@NullMarked
package org.foxtailford.testkit.command;

import org.jspecify.annotations.NullMarked;
