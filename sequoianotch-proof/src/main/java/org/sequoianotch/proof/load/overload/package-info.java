/** Goodput of whole requests under overload, measured with real node processes. */
@NullMarked
package org.sequoianotch.proof.load.overload;

import org.jspecify.annotations.NullMarked;
