/** Connections between nodes that carry the inner protocol. */
@NullMarked
package org.sequoianotch.protocol.link;

import org.jspecify.annotations.NullMarked;
