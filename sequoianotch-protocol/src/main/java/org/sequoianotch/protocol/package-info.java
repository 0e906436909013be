/** Messages of the inner protocol between nodes. */
@NullMarked
package org.sequoianotch.protocol;

import org.jspecify.annotations.NullMarked;
