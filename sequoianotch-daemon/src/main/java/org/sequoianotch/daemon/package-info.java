/** The node process: start, stop and wiring of its parts. */
@NullMarked
package org.sequoianotch.daemon;

import org.jspecify.annotations.NullMarked;
