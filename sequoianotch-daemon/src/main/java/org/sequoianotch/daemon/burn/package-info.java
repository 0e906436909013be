/** Error budget burn of the objectives: counters, sums over nodes, and reports as text, JSON and HTML. */
@NullMarked
package org.sequoianotch.daemon.burn;

import org.jspecify.annotations.NullMarked;
