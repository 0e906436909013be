/** Measurement of goodput under overload, end to end with real node processes. */
@NullMarked
package org.sequoianotch.proof.load.overload;

import org.jspecify.annotations.NullMarked;
