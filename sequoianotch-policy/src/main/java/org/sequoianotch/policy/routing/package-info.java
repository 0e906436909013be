/** Selection of the instance for a call. */
@NullMarked
package org.sequoianotch.policy.routing;

import org.jspecify.annotations.NullMarked;
