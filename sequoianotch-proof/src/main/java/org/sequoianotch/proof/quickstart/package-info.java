/** The requests of the quickstart. */
@NullMarked
package org.sequoianotch.proof.quickstart;

import org.jspecify.annotations.NullMarked;
