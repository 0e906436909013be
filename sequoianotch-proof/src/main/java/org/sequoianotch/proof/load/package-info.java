/** Open-loop load and its measurement. */
@NullMarked
package org.sequoianotch.proof.load;

import org.jspecify.annotations.NullMarked;
