/** The closed list of error kinds and the answers that they lead to. */
@NullMarked
package org.sequoianotch.error;

import org.jspecify.annotations.NullMarked;
