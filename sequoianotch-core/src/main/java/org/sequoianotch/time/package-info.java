/** Sources of time in milliseconds: the clock of the host and a manual clock for tests. */
@NullMarked
package org.sequoianotch.time;

import org.jspecify.annotations.NullMarked;
