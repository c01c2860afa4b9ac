/** What an entry VM knows of configuration, upstreams and owners, and the leader's work. */
@NullMarked
package org.foxtailford.entry.control;

import org.jspecify.annotations.NullMarked;
