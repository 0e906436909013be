/** Timelines and counts of requests, kept in bounded memory, which operators can query. */
@NullMarked
package org.sequoianotch.daemon.explain;

import org.jspecify.annotations.NullMarked;
