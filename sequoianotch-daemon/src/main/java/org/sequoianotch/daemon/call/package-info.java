/** The way of a call: contexts, attempts at instances, and serving calls at the instance. */
@NullMarked
package org.sequoianotch.daemon.call;

import org.jspecify.annotations.NullMarked;
