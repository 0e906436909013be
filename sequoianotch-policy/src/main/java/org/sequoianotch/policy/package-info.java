/** Overload policies, and the choice between the protective and the naive ones. */
@NullMarked
package org.sequoianotch.policy;

import org.jspecify.annotations.NullMarked;
