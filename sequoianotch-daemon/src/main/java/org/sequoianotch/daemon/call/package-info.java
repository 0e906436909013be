/** The request path of a node: request contexts, attempts at instances, and serving calls at the local instance. */
@NullMarked
package org.sequoianotch.daemon.call;

import org.jspecify.annotations.NullMarked;
