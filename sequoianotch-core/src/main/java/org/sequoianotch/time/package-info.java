/** The project's clock, in milliseconds. */
@NullMarked
package org.sequoianotch.time;

import org.jspecify.annotations.NullMarked;
