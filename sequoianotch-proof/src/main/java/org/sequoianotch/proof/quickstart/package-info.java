/** Client of the quickstart example. */
@NullMarked
package org.sequoianotch.proof.quickstart;

import org.jspecify.annotations.NullMarked;
