/** Timelines of requests, kept in bounded memory, for explanations to operators. */
@NullMarked
package org.sequoianotch.daemon.explain;

import org.jspecify.annotations.NullMarked;
