/** Error budgets of the objectives: counters, merging over nodes, and reports as text, JSON and HTML. */
@NullMarked
package org.sequoianotch.daemon.burn;

import org.jspecify.annotations.NullMarked;
