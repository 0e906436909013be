/** The node process: its commands, and the wiring, start and stop of its components. */
@NullMarked
package org.sequoianotch.daemon;

import org.jspecify.annotations.NullMarked;
