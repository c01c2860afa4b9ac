/** The scenario language: text files with places, load, faults at times and what must hold. */
@NullMarked
package org.foxtailford.testkit.scenario;

import org.jspecify.annotations.NullMarked;
