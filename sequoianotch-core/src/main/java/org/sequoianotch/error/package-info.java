/** Error kinds and the responses that they produce. */
@NullMarked
package org.sequoianotch.error;

import org.jspecify.annotations.NullMarked;
